package flooder

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sampleInterval is the time between two samples of the memory of an entry.
const sampleInterval = 5 * time.Millisecond

// usage is the largest use of memory and descriptors that was seen. Resident is the peak
// of the resident set as the kernel counts it (VmHWM). Sum is the largest sample of the
// resident set (VmRSS) and of the bytes that the sockets of callers have received and that
// have not been read.
type usage struct {
	residentBytes, sumBytes, unreadBytes int64
	descriptors                          int
}

// sampler samples the usage of an entry until it is stopped.
type sampler struct {
	entry *entry
	stop  chan struct{}
	done  sync.WaitGroup
	peak  usage
}

func (e *entry) startSampler() *sampler {
	s := &sampler{entry: e, stop: make(chan struct{})}
	s.done.Go(func() {
		for {
			s.sample()
			select {
			case <-s.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return s
}

// finish ends the sampling and returns the peak.
func (s *sampler) finish() usage {
	close(s.stop)
	s.done.Wait()
	s.sample()
	return s.peak
}

func (s *sampler) sample() {
	pid := s.entry.command.Process.Pid
	unread := unreadBytes(s.entry.address)
	s.peak.unreadBytes = max(s.peak.unreadBytes, unread)
	s.peak.sumBytes = max(s.peak.sumBytes, statusBytes(pid, "VmRSS:")+unread)
	s.peak.residentBytes = max(s.peak.residentBytes, statusBytes(pid, "VmHWM:"))
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		s.peak.descriptors = max(s.peak.descriptors, len(files))
	}
}

// statusBytes returns a field of the status of a process, 0 if the process has ended.
func statusBytes(pid int, field string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, ok := strings.Cut(string(status), field)
	if !ok {
		return 0
	}
	kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	if err != nil {
		return 0
	}
	return kb << 10
}

// unreadBytes returns the number of bytes that wait in the sockets at a local address.
func unreadBytes(address string) int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local, sum := tableAddress(address), int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		// The queue of a listener is the number of connections that wait.
		if err == nil && fields[3] != listenState {
			sum += n
		}
	}
	return sum
}

// listenState is the state of a listener in /proc/net/tcp.
const listenState = "0A"

// tableAddress returns an address as it is written in /proc/net/tcp: the IPv4 address as a
// number in the byte order of the machine, which is little-endian on all that we build for.
func tableAddress(address string) string {
	a := netip.MustParseAddrPort(address)
	ip := a.Addr().As4()
	reversed := binary.LittleEndian.AppendUint32(nil, binary.BigEndian.Uint32(ip[:]))
	return strings.ToUpper(hex.EncodeToString(reversed)) + fmt.Sprintf(":%04X", a.Port())
}

// assertBounded checks the usage of an entry with a number of open connections of callers.
func assertBounded(t *testing.T, u usage, callers int) {
	t.Helper()
	t.Logf("peak of the resident set %d KB, with unread bytes %d KB (unread %d KB), %d descriptors",
		u.residentBytes>>10, u.sumBytes>>10, u.unreadBytes>>10, u.descriptors)
	is := is.New(t)
	is.True(u.residentBytes > 0)
	is.True(u.residentBytes < memoryLimitMB<<20)
	is.True(u.sumBytes < memoryLimitMB<<20)
	is.True(u.descriptors <= callers+fileDescriptors)
}
