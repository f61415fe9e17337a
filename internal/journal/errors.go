package journal

import (
	"fmt"

	"github.com/go-faster/errors"
)

// CorruptError reports damage that isn't a torn write. The journal fails to open,
// because acknowledged records may be missing.
type CorruptError struct {
	file   string
	offset int64
	detail string
}

// File returns the damaged file.
func (e *CorruptError) File() string { return e.file }

// Offset returns the byte offset of the damage.
func (e *CorruptError) Offset() int64 { return e.offset }

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal file %s is corrupt at byte %d: %s", e.file, e.offset, e.detail)
}

// FailedError reports a failed write or sync. It is unknown which part of the write is on
// disk; see Journal.Save.
type FailedError struct {
	operation string
	cause     error
}

// Operation returns the failed operation: write, sync, create, rename, open, seek or
// truncate.
func (e *FailedError) Operation() string { return e.operation }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.cause }

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("journal %s failed: %v", e.operation, e.cause)
}

// LockedError reports that the journal is open in another process.
type LockedError struct {
	folder string
	cause  error
}

// Folder returns the journal's folder.
func (e *LockedError) Folder() string { return e.folder }

// Unwrap returns the cause.
func (e *LockedError) Unwrap() error { return e.cause }

// Error implements error.
func (e *LockedError) Error() string {
	return fmt.Sprintf("journal folder %s is in use by another process: %v", e.folder, e.cause)
}

// annotate wraps an error like errors.Wrap, but returns nil for nil.
func annotate(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}
