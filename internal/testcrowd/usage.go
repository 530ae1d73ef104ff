package testcrowd

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process takes of its machine.
type Usage struct {
	// Files is the number of open descriptors.
	Files int
	// Resident is the resident memory of the process, and Unread what its sockets have received and it has not read, in bytes.
	// Memory is their sum, which counts towards the limit of a machine. The fields are largest values of samples, so Memory may
	// be less than the sum of the other two.
	Resident, Unread, Memory int64
}

// sampleInterval is the time between two samples of WatchUsage.
const sampleInterval = 20 * time.Millisecond

// WatchUsage samples what the process takes until the returned function is called, which returns the largest values. addresses
// are those of the sockets that the process listens on.
func (p Process) WatchUsage(addresses ...string) (stop func() (Usage, error)) {
	type result struct {
		usage Usage
		err   error
	}
	done, results := make(chan struct{}), make(chan result)
	go func() {
		var largest Usage
		for {
			now, err := p.usage(addresses)
			largest = Usage{
				Files: max(largest.Files, now.Files), Resident: max(largest.Resident, now.Resident),
				Unread: max(largest.Unread, now.Unread), Memory: max(largest.Memory, now.Memory),
			}
			select {
			case <-done:
				results <- result{largest, err}
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() (Usage, error) {
		close(done)
		r := <-results
		return r.usage, r.err
	}
}

func (p Process) usage(addresses []string) (Usage, error) {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID))
	if err != nil {
		return Usage{}, err
	}
	resident, err := p.status("VmRSS:")
	if err != nil {
		return Usage{}, err
	}
	unread, err := unreadBytes(addresses)
	return Usage{Files: len(files), Resident: resident, Unread: unread, Memory: resident + unread}, err
}

// unreadBytes returns the number of bytes that connections to these addresses have received and their process has not read,
// including those that it has not accepted yet.
func unreadBytes(addresses []string) (sum int64, err error) {
	local := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		text, err := kernelAddress(address)
		if err != nil {
			return 0, err
		}
		local[text] = true
	}
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	const (
		localField, stateField, queuesField = 1, 3, 4
		listening                           = "0A"
	)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) <= queuesField || !local[fields[localField]] || fields[stateField] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesField], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// kernelAddress returns an IPv4 address and port as /proc/net/tcp writes them.
func kernelAddress(address string) (string, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", err
	}
	ip := parsed.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), parsed.Port()), nil
}
