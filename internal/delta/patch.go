package delta

import (
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID marks a patch that needs its base.
	dictionaryID = 1
	// minBaseSize is the size in bytes below which a base saves nothing.
	minBaseSize = 256
)

// EncodePatch compresses next for a reader that has base. An empty base is none. The patch of a large
// document with a few changes has some hundred bytes, wherever the changes are.
func EncodePatch(base, next []byte) ([]byte, error) {
	window := zstd.MinWindowSize
	for window < len(base)+len(next) && window < zstd.MaxWindowSize {
		window *= 2
	}
	o := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window), zstd.WithEncoderCRC(true),
	}
	if len(base) >= minBaseSize {
		o = append(o, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, o...)
	if err != nil {
		return nil, errors.Wrap(err, "patch encoder")
	}
	patch := e.EncodeAll(next, nil)
	if err := e.Close(); err != nil {
		return nil, errors.Wrap(err, "close the patch encoder")
	}
	return patch, nil
}

// ApplyPatch returns the document of at most limit bytes that a patch encodes. A patch that was
// made for another base fails with an error.
func ApplyPatch(base, patch []byte, limit int) ([]byte, error) {
	o := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(limit))}
	if len(base) >= minBaseSize {
		o = append(o, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, o...)
	if err != nil {
		return nil, errors.Wrap(err, "patch decoder")
	}
	defer d.Close()
	document, err := d.DecodeAll(patch, nil)
	if err != nil {
		return nil, errors.Wrap(err, "apply patch")
	}
	return document, nil
}
