package daemon

import (
	"bufio"
	"io/fs"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/dotterelthread/dotterelthread/internal/settings"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
)

const (
	// defaultRequestMemory limits the memory for callers' requests on a large machine, in bytes.
	defaultRequestMemory = 256 << 20
	// callerFilesPart is the part of the process's descriptors, as its inverse, for callers' connections.
	callerFilesPart = 2
	bytesPerKiB     = 1 << 10
)

// limitMemory applies the memory limit of the VM: it sets the runtime's soft limit, unless GOMEMLIMIT has, and returns the settings
// with limits that are as small as the VM requires.
func limitMemory(cfg settings.Daemon) (settings.Daemon, membuf.Parts, error) {
	parts, err := memoryParts(cfg.MemoryLimit)
	if err != nil {
		return cfg, parts, err
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return cfg, parts, errors.Wrap(err, "read limit of open files")
	}
	if cfg.RequestMemory == 0 {
		cfg.RequestMemory = min(parts.Requests, defaultRequestMemory)
	}
	cfg.ResponseMemory = min(cfg.ResponseMemory, parts.Responses)
	cfg.AnswerMemory = min(cfg.AnswerMemory, int(parts.Answers))
	cfg.MaxAnswerBytes = min(cfg.MaxAnswerBytes, cfg.AnswerMemory)
	openFiles := int(min(files.Cur, math.MaxInt32))
	cfg.MaxConnections = max(1, min(cfg.MaxConnections, parts.Connections, openFiles/callerFilesPart))
	return cfg, parts, nil
}

// memoryParts divides the memory of the VM. A limit of 0 means that of the soft limit GOMEMLIMIT or, without one, of the machine.
func memoryParts(limit int64) (membuf.Parts, error) {
	soft := debug.SetMemoryLimit(-1)
	if limit == 0 && soft < math.MaxInt64 {
		return membuf.DivideRuntime(soft), nil
	}
	if limit == 0 {
		var err error
		if limit, err = machineMemory(os.DirFS("/")); err != nil {
			return membuf.Parts{}, err
		}
	}
	parts := membuf.Divide(limit)
	if soft == math.MaxInt64 {
		debug.SetMemoryLimit(parts.Runtime)
	}
	return parts, nil
}

// machineMemory returns the memory that the machine or the process's control group has, whichever is less, in bytes.
func machineMemory(root fs.FS) (int64, error) {
	total, err := totalMemory(root)
	if err != nil {
		return 0, err
	}
	for _, name := range []string{"sys/fs/cgroup/memory.max", "sys/fs/cgroup/memory/memory.limit_in_bytes"} {
		data, err := fs.ReadFile(root, name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, errors.Wrap(err, "read memory limit")
		}
		// A group without a limit has "max" here.
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err == nil && limit > 0 {
			total = min(total, limit)
		}
	}
	return total, nil
}

func totalMemory(root fs.FS) (int64, error) {
	file, err := root.Open("proc/meminfo")
	if err != nil {
		return 0, errors.Wrap(err, "read memory of the machine")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "MemTotal:"); ok {
			kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
			return kib * bytesPerKiB, errors.Wrap(err, "parse memory of the machine")
		}
	}
	return 0, errors.CombineErrors(lines.Err(), errors.New("the memory of the machine is unknown"))
}
