package process

import (
	"sync"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/directory"
)

// catalogCache decodes each version of the stored catalog once.
type catalogCache struct {
	store   *directory.Store
	decode  func(document []byte) (*catalog.Catalog, error)
	mu      sync.Mutex
	version uint64
	catalog *catalog.Catalog
}

func newCatalogCache(store *directory.Store, decode func(document []byte) (*catalog.Catalog, error)) *catalogCache {
	return &catalogCache{store: store, decode: decode}
}

// newest returns the newest valid catalog, or nil if there is none.
func (c *catalogCache) newest() *catalog.Catalog {
	version, document := c.store.Newest()
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == c.version {
		return c.catalog
	}
	decoded, err := c.decode(document)
	if err != nil {
		klog.ErrorS(err, "Stored catalog can't be decoded", "version", version)
	} else {
		c.catalog = decoded
	}
	c.version = version
	return c.catalog
}
