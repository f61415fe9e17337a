package journal

import (
	"fmt"

	"github.com/go-faster/errors"
)

// CorruptError reports damage that a lost write can't explain. The journal
// refuses to open, because acknowledged records may be missing.
type CorruptError struct {
	file   string
	offset int64
	detail string
}

// File returns the damaged file.
func (e *CorruptError) File() string { return e.file }

// Offset returns the position of the damage in bytes.
func (e *CorruptError) Offset() int64 { return e.offset }

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal file %s is corrupt at byte %d: %s", e.file, e.offset, e.detail)
}

// FailedError reports a write or sync that failed. What reached the disk is
// unknown, so the journal accepts nothing more; only opening it again tells.
type FailedError struct {
	operation string
	cause     error
}

// Operation returns what failed: write, sync, create, rename or truncate.
func (e *FailedError) Operation() string { return e.operation }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.cause }

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("journal %s failed: %v", e.operation, e.cause)
}

// LockedError reports that another process has the journal open.
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

// annotate wraps an error and keeps nil, which errors.Wrap doesn't.
func annotate(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}
