package strictyaml

import (
	"io"
	"os"
)

// ReadFile returns the content of a file, but no more than one byte above the
// limit, so that a wrong path, such as a device or a log, costs little memory.
// CheckSize then refuses it.
func ReadFile(path string, limit Size) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err // *fs.PathError, which names the file
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, int64(limit)+1))
}

// CheckSize reports whether the data is within the limit; a fault is recorded if
// it isn't.
func (r *Reader) CheckSize(data []byte, limit Size) bool {
	if Size(len(data)) <= limit {
		return true
	}
	r.failSyntax(Mark{}, "a file larger than the limit", "at most "+limit.String())
	return false
}
