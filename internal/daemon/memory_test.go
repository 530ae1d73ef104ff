package daemon

import (
	"testing"
	"testing/fstest"

	"github.com/matryer/is"
)

// Guards against a default that is larger than the machine or the control group of the process.
func TestMachineMemory(t *testing.T) {
	is := is.New(t)
	const meminfo = "MemTotal:        2048 kB\nMemFree:         1024 kB\n"
	for _, c := range []struct {
		files map[string]string
		want  int64
	}{
		{map[string]string{}, 2 << 20},
		{map[string]string{"sys/fs/cgroup/memory.max": "1048576\n"}, 1 << 20},
		{map[string]string{"sys/fs/cgroup/memory.max": "max\n"}, 2 << 20},
		{map[string]string{"sys/fs/cgroup/memory/memory.limit_in_bytes": "9223372036854771712\n"}, 2 << 20},
	} {
		root := fstest.MapFS{"proc/meminfo": {Data: []byte(meminfo)}}
		for name, content := range c.files {
			root[name] = &fstest.MapFile{Data: []byte(content)}
		}
		got, err := machineMemory(root)
		is.NoErr(err)
		is.Equal(got, c.want)
	}
	_, err := machineMemory(fstest.MapFS{"proc/meminfo": {Data: []byte("MemFree: 1 kB\n")}})
	is.True(err != nil) // unknown
}
