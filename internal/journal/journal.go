// Package journal stores the log, the state and the latest snapshot of a replica in
// one folder.
//
// A generation is an append-only file. Its first record contains the complete state
// at its creation, and each Save appends one record. A snapshot starts a new
// generation: the file is written under a temporary name, synced and renamed, and
// the folder is synced before the old file is removed.
//
// Save writes a record only after the previous record has been synced. A damaged
// record that is followed by an intact one had therefore been synced, and Open fails
// with a *CorruptError. A damaged record at the end of the file is a torn write that
// was never acknowledged, and is truncated.
//
// # Usage
//
//	j, err := journal.Open(journal.Options{Folder: "data/control-1"})
//	if err != nil {
//		return err
//	}
//	defer j.Close()
//	contents := j.Contents()
//	err = j.Save(batches) // the batches are durable if err is nil
//	var failed *journal.FailedError
//	if errors.As(err, &failed) {
//		err = j.Save(batches) // once the disk may accept writes again
//	}
package journal

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/afero"
)

const (
	filePrefix      = "generation-"
	temporarySuffix = ".tmp"
	lockName        = "lock"
	folderMode      = 0o750
	fileMode        = 0o640
	// maxRetainedBuffer limits the buffer that is reused between calls of Save, which
	// would otherwise retain the size of the largest snapshot.
	maxRetainedBuffer = 4 << 20
)

// Options configures a Journal.
type Options struct {
	// Folder contains the journal files. It is created if it doesn't exist.
	Folder string
	// FileSystem is the file system to use. The default is that of the operating system.
	FileSystem afero.Fs
}

// Journal is a durable store for one replica. It isn't safe for concurrent use.
type Journal struct {
	folder     string
	fileSystem afero.Fs
	file       afero.File
	lock       afero.File
	generation uint64
	sequence   uint64
	contents   Contents
	// end is the size of the file up to the last synced record.
	end int64
	// failed is the failure of the previous Save, or nil.
	failed error
	// unsyncedRename is set while the rename of a new generation may not be durable.
	unsyncedRename bool
	closed         bool
	buffer         []byte
	truncated      int64
}

// Open reads the journal in a folder and prepares it for Save. It returns a
// *CorruptError if acknowledged records may be missing, a *LockedError while another
// process has the journal open, and a *FailedError if a torn write can't be truncated.
func Open(o Options) (*Journal, error) {
	if o.FileSystem == nil {
		o.FileSystem = afero.NewOsFs()
	}
	j := &Journal{folder: filepath.Clean(o.Folder), fileSystem: o.FileSystem}
	if err := j.createFolder(); err != nil {
		return nil, err
	}
	if err := j.lockFolder(); err != nil {
		return nil, err
	}
	if err := j.loadNewest(); err != nil {
		_ = j.Close()
		return nil, err
	}
	return j, nil
}

// createFolder creates the folder and its parents and makes their directory entries
// durable, because the journal would be lost with any of them.
func (j *Journal) createFolder() error {
	var parents []string
	for p := filepath.Dir(j.folder); ; p = filepath.Dir(p) {
		parents = append(parents, p)
		if exists, err := afero.DirExists(j.fileSystem, p); err != nil || exists || p == filepath.Dir(p) {
			break
		}
	}
	if err := j.fileSystem.MkdirAll(j.folder, folderMode); err != nil {
		return errors.Wrap(err, "create journal folder")
	}
	for _, p := range parents {
		if err := j.syncFolder(p); err != nil {
			return err
		}
	}
	return nil
}

// lockFolder prevents two processes from writing to the same journal, for example
// when a suspended process resumes after it was replaced. Only files of the operating
// system can be locked.
func (j *Journal) lockFolder() error {
	f, err := j.fileSystem.OpenFile(filepath.Join(j.folder, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open lock file")
	}
	j.lock = f
	file, ok := f.(*os.File)
	if !ok {
		return nil
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return &LockedError{folder: j.folder, cause: err}
	}
	return nil
}

func (j *Journal) loadNewest() error {
	generations, err := j.listGenerations()
	if err != nil || len(generations) == 0 {
		return err
	}
	newest := len(generations) - 1
	if err := j.load(generations[newest]); err != nil {
		return err
	}
	for _, g := range generations[:newest] {
		if err := j.fileSystem.Remove(j.path(g)); err != nil {
			return errors.Wrap(err, "remove old generation")
		}
	}
	return nil
}

// Contents returns the data that was read by Open. The journal doesn't retain it,
// because it may be large: further calls return empty contents.
func (j *Journal) Contents() Contents {
	c := j.contents
	j.contents = Contents{}
	return c
}

// IsNew reports whether Open found nothing. It must be called before Contents.
func (j *Journal) IsNew() bool {
	return j.contents.State == State{} && j.contents.Snapshot == nil && len(j.contents.Entries) == 0
}

// TruncatedBytes returns the size of the torn write that Open removed.
func (j *Journal) TruncatedBytes() int64 { return j.truncated }

// Save stores the batches durably in order, with a single sync. After a *FailedError it is
// unknown which of them are on disk. The caller may then repeat the call with the same
// batches, optionally followed by further ones: Save first removes what the failed call left
// behind. After Close it returns a *FailedError.
func (j *Journal) Save(batches []Batch) error {
	if j.closed {
		return &FailedError{operation: "write", cause: os.ErrClosed}
	}
	// A batch with a snapshot contains the complete state and supersedes earlier ones.
	for i := len(batches) - 1; i > 0; i-- {
		if batches[i].Snapshot != nil {
			batches = batches[i:]
			break
		}
	}
	defer j.releaseLargeBuffer()
	if err := j.encode(batches); err != nil {
		return err
	}
	if j.file == nil || batches[0].Snapshot != nil {
		return j.startGeneration()
	}
	return j.appendRecord()
}

// appendRecord writes the buffer to the end of the current generation. After a failure the
// file may end with a part of the record, and a repeated sync could succeed without having
// written it. The file is therefore opened again, truncated to the last synced record, and
// the record is written again.
func (j *Journal) appendRecord() error {
	if j.unsyncedRename {
		// The rename of the failed Save may have replaced the current generation.
		return j.setFailed("write", errors.New("the failed snapshot has to be saved again"))
	}
	if j.failed != nil {
		if err := j.reopenFile(); err != nil {
			return err
		}
	}
	if err := j.write(j.file); err != nil {
		return err
	}
	j.end += int64(len(j.buffer))
	j.failed = nil
	return nil
}

func (j *Journal) reopenFile() error {
	f, err := j.fileSystem.OpenFile(j.path(j.generation), os.O_RDWR, fileMode)
	if err != nil {
		return j.setFailed("open", err)
	}
	if err := f.Truncate(j.end); err != nil {
		_ = f.Close()
		return j.setFailed("truncate", err)
	}
	if _, err := f.Seek(j.end, io.SeekStart); err != nil {
		_ = f.Close()
		return j.setFailed("seek", err)
	}
	// A failure to close the old descriptor concerns only what was truncated.
	_ = j.file.Close()
	j.file = f
	return nil
}

// Close closes the files and releases the lock. All successfully saved batches are
// already durable.
func (j *Journal) Close() error {
	j.closed = true
	var first error
	for _, f := range []afero.File{j.file, j.lock} {
		if f == nil {
			continue
		}
		if err := f.Close(); first == nil {
			first = err
		}
	}
	j.file, j.lock = nil, nil
	return annotate(first, "close journal")
}

// releaseLargeBuffer releases the buffer if it exceeds maxRetainedBuffer.
func (j *Journal) releaseLargeBuffer() {
	if cap(j.buffer) > maxRetainedBuffer {
		j.buffer = nil
	}
}

func (j *Journal) encode(batches []Batch) error {
	j.buffer = append(j.buffer[:0], make([]byte, headerSize)...)
	for _, b := range batches {
		var err error
		if j.buffer, err = appendBatch(j.buffer, b); err != nil {
			return err
		}
	}
	writeHeader(j.buffer, j.sequence+1)
	return nil
}

func (j *Journal) write(f afero.File) error {
	if _, err := f.Write(j.buffer); err != nil {
		return j.setFailed("write", err)
	}
	if err := f.Sync(); err != nil {
		return j.setFailed("sync", err)
	}
	j.sequence++
	return nil
}

func (j *Journal) startGeneration() error {
	path := j.path(j.generation + 1)
	f, err := j.fileSystem.OpenFile(path+temporarySuffix, os.O_CREATE|os.O_TRUNC|os.O_RDWR, fileMode)
	if err != nil {
		return j.setFailed("create", err)
	}
	if err := j.write(f); err != nil {
		_ = f.Close()
		// The room of an incomplete file is needed for the next attempt.
		_ = j.fileSystem.Remove(path + temporarySuffix)
		return err
	}
	if err := j.fileSystem.Rename(path+temporarySuffix, path); err != nil {
		_ = f.Close()
		return j.setFailed("rename", err)
	}
	if err := j.syncFolder(j.folder); err != nil {
		_ = f.Close()
		j.unsyncedRename = j.file != nil
		return err
	}
	old := j.file
	j.file = f
	j.generation++
	j.end = int64(len(j.buffer))
	j.failed, j.unsyncedRename = nil, false
	if old == nil {
		return nil
	}
	_ = old.Close()
	// If this fails, the next Open removes the old generation.
	_ = j.fileSystem.Remove(j.path(j.generation - 1))
	return nil
}

func (j *Journal) syncFolder(path string) error {
	d, err := j.fileSystem.Open(path)
	if err != nil {
		return j.setFailed("sync", err)
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return j.setFailed("sync", err)
	}
	return nil
}

func (j *Journal) setFailed(operation string, cause error) error {
	j.failed = &FailedError{operation: operation, cause: cause}
	return j.failed
}

func (j *Journal) path(generation uint64) string {
	return filepath.Join(j.folder, fmt.Sprintf("%s%016d", filePrefix, generation))
}

// listGenerations returns the generations in ascending order and removes temporary files.
func (j *Journal) listGenerations() ([]uint64, error) {
	infos, err := afero.ReadDir(j.fileSystem, j.folder)
	if err != nil {
		return nil, errors.Wrap(err, "read journal folder")
	}
	var generations []uint64
	for _, info := range infos {
		g, err := j.generationOf(info)
		if err != nil {
			return nil, err
		}
		if g > 0 {
			generations = append(generations, g)
		}
	}
	slices.Sort(generations)
	return generations, nil
}

func (j *Journal) generationOf(info fs.FileInfo) (uint64, error) {
	if !strings.HasPrefix(info.Name(), filePrefix) {
		return 0, nil
	}
	if strings.HasSuffix(info.Name(), temporarySuffix) {
		err := j.fileSystem.Remove(filepath.Join(j.folder, info.Name()))
		return 0, annotate(err, "remove temporary generation file")
	}
	var g uint64
	if _, err := fmt.Sscanf(info.Name(), filePrefix+"%d", &g); err != nil {
		return 0, errors.Wrapf(err, "parse file name %s", info.Name())
	}
	return g, nil
}

func (j *Journal) load(generation uint64) error {
	path := j.path(generation)
	data, err := afero.ReadFile(j.fileSystem, path)
	if err != nil {
		return errors.Wrap(err, "read journal")
	}
	end, err := j.replay(path, data)
	if err != nil {
		return err
	}
	f, err := j.fileSystem.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open journal")
	}
	j.file = f
	j.generation = generation
	j.end = int64(end)
	j.truncated = int64(len(data) - end)
	if j.truncated > 0 {
		if err := f.Truncate(int64(end)); err != nil {
			return j.setFailed("truncate", err)
		}
		if err := f.Sync(); err != nil {
			return j.setFailed("sync", err)
		}
	}
	_, err = f.Seek(int64(end), 0)
	return annotate(err, "seek journal")
}

// replay applies the records in data and returns the end offset of the last intact one.
func (j *Journal) replay(path string, data []byte) (int, error) {
	at := 0
	for at < len(data) {
		sequence, payload, ok := readRecord(data[at:])
		if !ok {
			break
		}
		if at > 0 && sequence != j.sequence+1 {
			return 0, &CorruptError{file: path, offset: int64(at), detail: fmt.Sprintf("record %d follows record %d", sequence, j.sequence)}
		}
		b, err := decodeBatch(payload)
		if err == nil {
			err = j.contents.Apply(b)
		}
		if err != nil {
			return 0, &CorruptError{file: path, offset: int64(at), detail: err.Error()}
		}
		j.sequence = sequence
		at += headerSize + len(payload)
	}
	// The first record was synced before the file was renamed, so it can't be torn.
	if at == 0 {
		return 0, &CorruptError{file: path, offset: 0, detail: "the first record is damaged"}
	}
	if next := findRecord(data[at:]); next >= 0 {
		return 0, &CorruptError{file: path, offset: int64(at), detail: fmt.Sprintf("a damaged record is followed by an intact one at byte %d", at+next)}
	}
	return at, nil
}
