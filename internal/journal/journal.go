// Package journal keeps the log, the state and the newest snapshot of a replica
// in one folder.
//
// A generation is one append-only file. It starts with a record that holds the
// whole state at its creation and is followed by one record for each Save. A
// snapshot starts a new generation: the file is written under a temporary name,
// synced and renamed, the folder is synced, and only then the old file is removed.
//
// Save writes a record only after the sync of the one before. A damaged record
// that is followed by an intact one was therefore synced once, and opening fails
// with a *CorruptError; a damaged record at the end is the torn tail of a write
// that was never acknowledged, and is cut off.
//
// # Usage
//
//	j, err := journal.Open(journal.Options{Folder: "data/control-1"})
//	if err != nil {
//		return err
//	}
//	defer j.Close()
//	contents := j.Contents()
//	err = j.Save(batches) // durable once nil is returned
package journal

import (
	"fmt"
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
	// maxKeptBuffer bounds the buffer kept between two calls of Save, which would
	// otherwise keep the size of the largest snapshot.
	maxKeptBuffer = 4 << 20
)

// Options configures a Journal.
type Options struct {
	// Folder holds the files and is created when missing.
	Folder string
	// Files is the file system; the default is the operating system's.
	FileSystem afero.Fs
}

// Journal is a durable store for one replica. It isn't safe for concurrent use.
type Journal struct {
	folder     string
	files      afero.Fs
	file       afero.File
	lock       afero.File
	generation uint64
	sequence   uint64
	contents   Contents
	failed     error
	buffer     []byte
	truncated  int64
}

// Open reads the journal in a folder and makes it ready for Save. It fails with
// a *CorruptError when acknowledged records may be missing, with a *LockedError
// while another process has the folder open, and with a *FailedError when the
// torn tail can't be removed.
func Open(o Options) (*Journal, error) {
	if o.FileSystem == nil {
		o.FileSystem = afero.NewOsFs()
	}
	j := &Journal{folder: filepath.Clean(o.Folder), files: o.FileSystem}
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

// createFolder creates the folder and makes the names of all new folders
// durable, because the journal is lost with any of them.
func (j *Journal) createFolder() error {
	var parents []string
	for p := filepath.Dir(j.folder); ; p = filepath.Dir(p) {
		parents = append(parents, p)
		if exists, err := afero.DirExists(j.files, p); err != nil || exists || p == filepath.Dir(p) {
			break
		}
	}
	if err := j.files.MkdirAll(j.folder, folderMode); err != nil {
		return errors.Wrap(err, "create journal folder")
	}
	for _, p := range parents {
		if err := j.syncFolder(p); err != nil {
			return err
		}
	}
	return nil
}

// lockFolder prevents two processes from writing to one journal, such as a
// process that was frozen, was replaced and resumes. Only files of the operating
// system can be locked.
func (j *Journal) lockFolder() error {
	f, err := j.files.OpenFile(filepath.Join(j.folder, lockName), os.O_CREATE|os.O_RDWR, fileMode)
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
	generations, err := j.list()
	if err != nil || len(generations) == 0 {
		return err
	}
	newest := len(generations) - 1
	if err := j.load(generations[newest]); err != nil {
		return err
	}
	for _, g := range generations[:newest] {
		if err := j.files.Remove(j.path(g)); err != nil {
			return errors.Wrap(err, "remove old generation")
		}
	}
	return nil
}

// Contents hands over what was read at Open. The journal doesn't keep it, because
// it may be large, so a second call returns nothing.
func (j *Journal) Contents() Contents {
	c := j.contents
	j.contents = Contents{}
	return c
}

// TruncatedBytes returns the size in bytes of the torn tail that Open removed.
func (j *Journal) TruncatedBytes() int64 { return j.truncated }

// Save makes the batches durable in order, with one sync for all of them. After
// a *FailedError every further call returns the same error.
func (j *Journal) Save(batches []Batch) error {
	if j.failed != nil {
		return j.failed
	}
	// A batch with a snapshot holds the whole state, so those before it are obsolete.
	for i := len(batches) - 1; i > 0; i-- {
		if batches[i].Snapshot != nil {
			batches = batches[i:]
			break
		}
	}
	defer j.dropLargeBuffer()
	if err := j.encode(batches); err != nil {
		return err
	}
	if j.file == nil || batches[0].Snapshot != nil {
		return j.startGeneration()
	}
	return j.write(j.file)
}

// Close closes the files and releases the folder. Everything that Save
// acknowledged is durable already.
func (j *Journal) Close() error {
	if j.failed == nil {
		j.failed = &FailedError{operation: "write", cause: os.ErrClosed}
	}
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

// dropLargeBuffer frees a buffer that held a large record.
func (j *Journal) dropLargeBuffer() {
	if cap(j.buffer) > maxKeptBuffer {
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
	sealRecord(j.buffer, j.sequence+1)
	return nil
}

func (j *Journal) write(f afero.File) error {
	if _, err := f.Write(j.buffer); err != nil {
		return j.fail("write", err)
	}
	if err := f.Sync(); err != nil {
		return j.fail("sync", err)
	}
	j.sequence++
	return nil
}

func (j *Journal) startGeneration() error {
	path := j.path(j.generation + 1)
	f, err := j.files.OpenFile(path+temporarySuffix, os.O_CREATE|os.O_TRUNC|os.O_RDWR, fileMode)
	if err != nil {
		return j.fail("create", err)
	}
	if err := j.write(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := j.files.Rename(path+temporarySuffix, path); err != nil {
		_ = f.Close()
		return j.fail("rename", err)
	}
	if err := j.syncFolder(j.folder); err != nil {
		_ = f.Close()
		return err
	}
	old := j.file
	j.file = f
	j.generation++
	if old == nil {
		return nil
	}
	_ = old.Close()
	// An old generation that stays is removed at the next Open.
	_ = j.files.Remove(j.path(j.generation - 1))
	return nil
}

func (j *Journal) syncFolder(path string) error {
	d, err := j.files.Open(path)
	if err != nil {
		return j.fail("sync", err)
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return j.fail("sync", err)
	}
	return nil
}

func (j *Journal) fail(operation string, cause error) error {
	j.failed = &FailedError{operation: operation, cause: cause}
	return j.failed
}

func (j *Journal) path(generation uint64) string {
	return filepath.Join(j.folder, fmt.Sprintf("%s%016d", filePrefix, generation))
}

// list returns the generations in ascending order and removes temporary files.
func (j *Journal) list() ([]uint64, error) {
	infos, err := afero.ReadDir(j.files, j.folder)
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
		err := j.files.Remove(filepath.Join(j.folder, info.Name()))
		return 0, annotate(err, "remove unfinished generation")
	}
	var g uint64
	if _, err := fmt.Sscanf(info.Name(), filePrefix+"%d", &g); err != nil {
		return 0, errors.Wrapf(err, "file name %s", info.Name())
	}
	return g, nil
}

func (j *Journal) load(generation uint64) error {
	path := j.path(generation)
	data, err := afero.ReadFile(j.files, path)
	if err != nil {
		return errors.Wrap(err, "read journal")
	}
	end, err := j.replay(path, data)
	if err != nil {
		return err
	}
	f, err := j.files.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open journal")
	}
	j.file = f
	j.generation = generation
	j.truncated = int64(len(data) - end)
	if j.truncated > 0 {
		if err := f.Truncate(int64(end)); err != nil {
			return j.fail("truncate", err)
		}
		if err := f.Sync(); err != nil {
			return j.fail("sync", err)
		}
	}
	_, err = f.Seek(int64(end), 0)
	return annotate(err, "seek journal")
}

// replay applies the records in data and returns the end of the last intact one.
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
	// The first record was synced before the file got its name, so it can't be torn.
	if at == 0 {
		return 0, &CorruptError{file: path, offset: 0, detail: "the first record is damaged"}
	}
	if next := findRecord(data[at:]); next >= 0 {
		return 0, &CorruptError{file: path, offset: int64(at), detail: fmt.Sprintf("a damaged record is followed by an intact one at byte %d", at+next)}
	}
	return at, nil
}
