package directory

import (
	"context"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/cardamomline/cardamomline/internal/delta"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// patchCache holds the patches that lead to the newest version of the catalog. All gateways fetch one
// at the same time, most of them from the same base. It is safe for concurrent use.
type patchCache struct {
	mu      sync.Mutex
	version uint64
	patches map[patchBase][]byte
}

// patchBase identifies the document that a patch is applied to.
type patchBase struct {
	version, checksum uint64
}

// patch returns the patch of a base, which encode makes if it is missing.
func (c *patchCache) patch(version uint64, base patchBase, encode func() ([]byte, error)) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.version || c.patches == nil {
		c.version, c.patches = version, map[patchBase][]byte{}
	}
	if p, ok := c.patches[base]; ok && version == c.version {
		return p, nil
	}
	p, err := encode()
	if err != nil {
		return nil, err
	}
	if version == c.version {
		c.patches[base] = p
	}
	return p, nil
}

// FetchCatalog implements wire.Directory.
func (s *service) FetchCatalog(_ context.Context, r *wire.FetchCatalogRequest) (*wire.FetchCatalogResponse, error) {
	stored := s.d.o.Store.contents()
	resp := &wire.FetchCatalogResponse{Version: stored.catalog, Confirmed: s.d.isConfirmed(stored.versions)}
	if stored.catalog <= r.GetKnownVersion() {
		return resp, nil
	}
	var base patchBase
	known := s.d.o.Store.previousDocument(r.GetKnownVersion(), r.GetKnownChecksum())
	if known != nil {
		base = patchBase{version: r.GetKnownVersion(), checksum: r.GetKnownChecksum()}
	}
	patch, err := s.d.patches.patch(stored.catalog, base, func() ([]byte, error) { return delta.EncodePatch(known, stored.document) })
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Internal, err.Error()), err)
	}
	resp.Patch, resp.BaseVersion = patch, base.version
	return resp, nil
}
