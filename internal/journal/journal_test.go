package journal_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/spf13/afero"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// faultyFS is a file system that injects the errors in its fields.
type faultyFS struct {
	afero.Fs
	writeErr, syncErr, renameErr error
	partialWrite                 int // bytes that a failing write stores
	syncs                        int
	synced                       []string // paths of synced files and folders
	// fail is called before each operation that changes the disk, if it is set.
	fail func(operation string) error
}

func (f *faultyFS) failure(operation string) error {
	if f.fail == nil {
		return nil
	}
	return f.fail(operation)
}

func (f *faultyFS) OpenFile(name string, flag int, mode os.FileMode) (afero.File, error) {
	if err := f.failure("open"); err != nil {
		return nil, err
	}
	file, err := f.Fs.OpenFile(name, flag, mode)
	return &faultyFile{File: file, fs: f}, err
}

func (f *faultyFS) Open(name string) (afero.File, error) {
	file, err := f.Fs.Open(name)
	return &faultyFile{File: file, fs: f}, err
}

func (f *faultyFS) Rename(from, to string) error {
	if f.renameErr != nil {
		return f.renameErr
	}
	if err := f.failure("rename"); err != nil {
		return err
	}
	return f.Fs.Rename(from, to)
}

type faultyFile struct {
	afero.File
	fs *faultyFS
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if f.fs.writeErr != nil {
		n, _ := f.File.Write(p[:min(len(p), f.fs.partialWrite)])
		return n, f.fs.writeErr
	}
	if err := f.fs.failure("write"); err != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}

func (f *faultyFile) Truncate(size int64) error {
	if err := f.fs.failure("truncate"); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

func (f *faultyFile) Sync() error {
	f.fs.syncs++
	f.fs.synced = append(f.fs.synced, f.Name())
	if f.fs.syncErr != nil {
		return f.fs.syncErr
	}
	if err := f.fs.failure("sync"); err != nil {
		return err
	}
	return f.File.Sync()
}

func open(t require.TestingT, files afero.Fs) *journal.Journal {
	j, err := journal.Open(journal.Options{Folder: "/data", FileSystem: files})
	require.NoError(t, err)
	return j
}

func entry(index, term uint64) *wire.LogEntry {
	return &wire.LogEntry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

// newFilledJournal returns a file system that contains a journal with one state and five
// entries, and the path and contents of the journal file.
func newFilledJournal(t *testing.T) (afero.Fs, string, []byte) {
	files := afero.NewMemMapFs()
	j := open(t, files)
	require.NoError(t, j.Save([]journal.Batch{{State: &journal.State{Member: "m", Term: 1}}}))
	for i := uint64(1); i <= 5; i++ {
		require.NoError(t, j.Save([]journal.Batch{{Entries: []*wire.LogEntry{entry(i, 1)}}}))
	}
	require.NoError(t, j.Close())
	names, err := afero.Glob(files, "/data/generation-*")
	require.NoError(t, err)
	require.Len(t, names, 1)
	data, err := afero.ReadFile(files, names[0])
	require.NoError(t, err)
	return files, names[0], data
}

// Guards against reopening a journal with contents that differ from the saved ones,
// for any sequence of states, appended and replaced entries, and snapshots.
func TestReopenReturnsSavedContents(t *testing.T) {
	if os.Getenv("RAPID_SEED") == "" {
		require.NoError(t, flag.Set("rapid.seed", "1"))
	}
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		files := afero.NewMemMapFs()
		j := open(t, files)
		want := journal.Contents{}
		for range rapid.IntRange(1, 20).Draw(t, "saves") {
			var batches []journal.Batch
			for range rapid.IntRange(1, 3).Draw(t, "batches") {
				b := drawBatch(t, want)
				require.NoError(t, want.Apply(b))
				batches = append(batches, b)
			}
			require.NoError(t, j.Save(batches))
			if rapid.Bool().Draw(t, "reopen") {
				require.NoError(t, j.Close())
				j = open(t, files)
				requireContents(t, want, j.Contents())
			}
		}
		requireContents(t, want, open(t, files).Contents())
	})
}

func drawBatch(t *rapid.T, c journal.Contents) journal.Batch {
	base := c.Snapshot.GetIndex()
	last := base + uint64(len(c.Entries))
	b := journal.Batch{State: &journal.State{Cluster: "c", Member: "m", Term: c.State.Term + 1, Vote: "v"}}
	if last > base && rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
		at := rapid.Uint64Range(base+1, last).Draw(t, "at")
		b.Snapshot = &wire.SnapshotRequest{Index: at, SnapshotTerm: 1, Data: fmt.Appendf(nil, "state at %d", at)}
		b.Entries = append(b.Entries, c.Entries[at-base:]...)
		return b
	}
	from := rapid.Uint64Range(base+1, last+1).Draw(t, "from")
	for i := range rapid.Uint64Range(0, 4).Draw(t, "entries") {
		b.Entries = append(b.Entries, entry(from+i, b.State.Term))
	}
	return b
}

func requireContents(t require.TestingT, want, got journal.Contents) {
	require.Equal(t, want.State, got.State)
	require.True(t, proto.Equal(want.Snapshot, got.Snapshot))
	require.Len(t, got.Entries, len(want.Entries))
	for i := range want.Entries {
		require.True(t, proto.Equal(want.Entries[i], got.Entries[i]))
	}
}

// Guards against a failure to open after a write was torn at any byte, and against
// a torn record that is treated as complete or prevents later writes.
func TestTornWriteIsTruncated(t *testing.T) {
	_, path, data := newFilledJournal(t)
	last := bytes.LastIndex(data, []byte{0xca, 0x4d, 0xa3, 0x0e})
	for size := last + 1; size < len(data); size++ {
		for _, tail := range [][]byte{nil, make([]byte, 100)} {
			files := afero.NewMemMapFs()
			require.NoError(t, afero.WriteFile(files, path, append(bytes.Clone(data[:size]), tail...), 0o640))
			j := open(t, files)
			require.Len(t, j.Contents().Entries, 4)
			require.EqualValues(t, size-last+len(tail), j.TruncatedBytes())
			require.NoError(t, j.Save([]journal.Batch{{Entries: []*wire.LogEntry{entry(5, 2)}}}))
			entries := open(t, files).Contents().Entries
			require.Len(t, entries, 5)
			require.EqualValues(t, 2, entries[4].Term)
		}
	}
}

// Guards against opening a journal that lost acknowledged records: a corrupted byte
// anywhere before the last record must be detected.
func TestCorruptRecordIsRejected(t *testing.T) {
	_, path, data := newFilledJournal(t)
	last := bytes.LastIndex(data, []byte{0xca, 0x4d, 0xa3, 0x0e})
	for at := range last {
		damaged := bytes.Clone(data)
		damaged[at] ^= 0x40
		files := afero.NewMemMapFs()
		require.NoError(t, afero.WriteFile(files, path, damaged, 0o640))
		_, err := journal.Open(journal.Options{Folder: "/data", FileSystem: files})
		var corrupt *journal.CorruptError
		require.ErrorAs(t, err, &corrupt, "byte %d", at)
		require.Equal(t, path, corrupt.File())
		require.LessOrEqual(t, corrupt.Offset(), int64(at))
	}
}

// Guards against a journal that reports a failed write as durable, that loses earlier
// records by it, or that can't continue once the disk accepts writes again. A repeated sync
// of the same file may succeed without having written anything, so the record has to be
// written again.
func TestSaveIsRepeatedAfterFailures(t *testing.T) {
	snapshot := journal.Batch{State: &journal.State{Member: "m"}, Snapshot: &wire.SnapshotRequest{Index: 5}}
	add := journal.Batch{Entries: []*wire.LogEntry{entry(6, 1)}}
	for name, c := range map[string]struct {
		files faultyFS
		batch journal.Batch
	}{
		"full disk":                 {faultyFS{writeErr: syscall.ENOSPC, partialWrite: 7}, add},
		"sync":                      {faultyFS{syncErr: syscall.EIO}, add},
		"full disk during snapshot": {faultyFS{writeErr: syscall.ENOSPC, partialWrite: 7}, snapshot},
		"sync of snapshot":          {faultyFS{syncErr: syscall.EIO}, snapshot},
		"rename of snapshot":        {faultyFS{renameErr: syscall.EIO}, snapshot},
	} {
		t.Run(name, func(t *testing.T) {
			files, _, _ := newFilledJournal(t)
			faulty := &faultyFS{Fs: files}
			j := open(t, faulty)
			j.Contents()
			c.files.Fs = files
			*faulty = c.files
			var failed *journal.FailedError
			require.ErrorAs(t, j.Save([]journal.Batch{c.batch}), &failed)
			require.GreaterOrEqual(t, len(open(t, files).Contents().Entries), 5, "earlier records are kept")
			require.ErrorAs(t, j.Save([]journal.Batch{c.batch}), &failed, "the disk still fails")
			*faulty = faultyFS{Fs: files}
			next := journal.Batch{Entries: []*wire.LogEntry{entry(7, 1)}}
			if c.batch.Snapshot != nil {
				next = add
			}
			require.NoError(t, j.Save([]journal.Batch{c.batch, next}))
			require.Positive(t, faulty.syncs)
			contents := open(t, files).Contents()
			require.Equal(t, c.batch.Snapshot.GetIndex(), contents.Snapshot.GetIndex())
			last := contents.Entries[len(contents.Entries)-1]
			require.Equal(t, next.Entries[0].Index, last.Index)
			require.NoError(t, j.Close())
			require.ErrorAs(t, j.Save([]journal.Batch{next}), &failed, "no write after Close")
		})
	}
}

// Guards against lost, doubled or corrupt records for any sequence of failing operations,
// and for a crash at any moment between two attempts.
func TestJournalOutlivesRandomFailures(t *testing.T) {
	if os.Getenv("RAPID_SEED") == "" {
		require.NoError(t, flag.Set("rapid.seed", "1"))
	}
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		files := &faultyFS{Fs: afero.NewMemMapFs()}
		j := open(t, files)
		failing := false
		files.fail = func(operation string) error {
			if failing && rapid.IntRange(0, 2).Draw(t, operation) == 0 {
				return syscall.EIO
			}
			return nil
		}
		saved := journal.Contents{}       // by successful calls
		attempted := []journal.Contents{} // by the calls since then
		var pending []journal.Batch
		for range rapid.IntRange(1, 25).Draw(t, "saves") {
			newest := saved
			if len(attempted) > 0 {
				newest = attempted[len(attempted)-1]
			}
			next := journal.Contents{State: newest.State, Snapshot: newest.Snapshot, Entries: append([]*wire.LogEntry{}, newest.Entries...)}
			b := drawBatch(t, next)
			require.NoError(t, next.Apply(b))
			pending = append(pending, b)
			attempted = append(attempted, next)
			failing = rapid.Bool().Draw(t, "failing")
			err := j.Save(pending)
			failing = false
			if err == nil {
				saved, attempted, pending = next, nil, nil
			} else {
				var failed *journal.FailedError
				require.ErrorAs(t, err, &failed)
			}
			got := open(t, copyFiles(t, files.Fs)).Contents()
			require.True(t, slices.ContainsFunc(append(attempted, saved), func(c journal.Contents) bool { return sameContents(c, got) }), "after a crash: %v", got)
		}
	})
}

func sameContents(a, b journal.Contents) bool {
	return a.State == b.State && proto.Equal(a.Snapshot, b.Snapshot) && slices.EqualFunc(a.Entries, b.Entries, func(x, y *wire.LogEntry) bool { return proto.Equal(x, y) })
}

// copyFiles returns a copy of a journal's files.
func copyFiles(t require.TestingT, from afero.Fs) afero.Fs {
	to := afero.NewMemMapFs()
	names, err := afero.Glob(from, "/data/*")
	require.NoError(t, err)
	for _, name := range names {
		data, err := afero.ReadFile(from, name)
		require.NoError(t, err)
		require.NoError(t, afero.WriteFile(to, name, data, 0o600))
	}
	return to
}

// Guards against a separate sync for each batch, which would defeat group commit.
func TestBatchesShareOneSync(t *testing.T) {
	files := &faultyFS{Fs: afero.NewMemMapFs()}
	j := open(t, files)
	require.NoError(t, j.Save([]journal.Batch{{State: &journal.State{Member: "m"}}}))
	before := files.syncs
	var batches []journal.Batch
	for i := uint64(1); i <= 100; i++ {
		batches = append(batches, journal.Batch{Entries: []*wire.LogEntry{entry(i, 1)}})
	}
	require.NoError(t, j.Save(batches))
	require.Equal(t, 1, files.syncs-before)
}

// Guards against a new data folder that is lost in a power failure because its
// directory entry was not synced.
func TestNewFoldersAreSynced(t *testing.T) {
	files := &faultyFS{Fs: afero.NewMemMapFs()}
	require.NoError(t, files.MkdirAll("/a", 0o750))
	_, err := journal.Open(journal.Options{Folder: "/a/b/data/", FileSystem: files})
	require.NoError(t, err)
	require.Equal(t, []string{"/a/b", "/a"}, files.synced)
}

// Guards against two processes that write to the same journal, when a suspended
// process resumes after it was replaced.
func TestSecondOpenIsRejected(t *testing.T) {
	o := journal.Options{Folder: filepath.Join(t.TempDir(), "data")}
	j, err := journal.Open(o)
	require.NoError(t, err)
	_, err = journal.Open(o)
	var locked *journal.LockedError
	require.ErrorAs(t, err, &locked)
	require.NoError(t, j.Close())
	j, err = journal.Open(o)
	require.NoError(t, err)
	require.NoError(t, j.Close())
}

// BenchmarkSave measures the effect of group commit on files in a temporary folder.
func BenchmarkSave(b *testing.B) {
	for _, group := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("batches per sync %d", group), func(b *testing.B) {
			j, err := journal.Open(journal.Options{Folder: filepath.Join(b.TempDir(), "journal")})
			require.NoError(b, err)
			data := make([]byte, 200)
			batches := make([]journal.Batch, group)
			index := uint64(0)
			b.ResetTimer()
			for range b.N {
				for i := range batches {
					index++
					batches[i] = journal.Batch{Entries: []*wire.LogEntry{{Index: index, Term: 1, Data: data}}}
				}
				if err := j.Save(batches); err != nil {
					b.Fatal(errors.Wrap(err, "save"))
				}
			}
			b.ReportMetric(float64(b.N*group)/b.Elapsed().Seconds(), "entries/s")
			require.NoError(b, j.Close())
		})
	}
}

// BenchmarkOpen measures opening the journal after 10,000 changes.
func BenchmarkOpen(b *testing.B) {
	o := journal.Options{Folder: filepath.Join(b.TempDir(), "journal")}
	j, err := journal.Open(o)
	require.NoError(b, err)
	var batches []journal.Batch
	for i := uint64(1); i <= 10_000; i++ {
		batches = append(batches, journal.Batch{Entries: []*wire.LogEntry{{Index: i, Term: 1, Data: make([]byte, 1000)}}})
	}
	for at := range 100 {
		require.NoError(b, j.Save(batches[at*100:(at+1)*100]))
	}
	require.NoError(b, j.Close())
	for range b.N {
		j, err := journal.Open(o)
		require.NoError(b, err)
		require.Len(b, j.Contents().Entries, 10_000)
		require.NoError(b, j.Close())
	}
}
