package rig2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// beatInterval is the time between two reports of a server, and silenceLimit the silence after which its entry is removed.
const (
	beatInterval = 1200 * time.Millisecond
	silenceLimit = 3 * beatInterval
)

// Server is an address at which server processes live, one after the other. Each start is a new lifetime with a new ID.
type Server struct {
	Name, Service, Zone, Address string
	// Slots is what the entry states.
	Slots int
	// Args are those of the process, after the address and the ID.
	Args []string
	// Downtime is the time until a process that has ended starts again; 0 means never.
	Downtime time.Duration
	// OnLine is called with each line that the process prints.
	OnLine func(s *Server, id, line string)

	d *Deployment

	mu      sync.Mutex
	id      string
	starts  int
	cmd     *exec.Cmd
	stopped bool
	exited  chan struct{}
}

// AddServer starts a server. The program of the case is started again with the argument "server", the address and the ID.
func (d *Deployment) AddServer(s *Server) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.Address, s.d = listener.Addr().String(), d
	_ = listener.Close()
	d.servers = append(d.servers, s)
	return s.start()
}

func (s *Server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	s.starts++
	id := fmt.Sprintf("i-%s-%d", s.Name, s.starts)
	cmd := exec.Command(os.Args[0], append([]string{"server", s.Address, id}, s.Args...)...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	s.id, s.cmd, s.exited = id, cmd, make(chan struct{})
	s.d.Record.Printf("server %s starts at %s", id, s.Address)
	listening, done, exited := make(chan struct{}), make(chan struct{}), s.exited
	go func() {
		defer close(done)
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			text := lines.Text()
			if text == lineListening {
				close(listening)
				continue
			}
			s.d.Record.Printf("server %s: %s", id, text)
			if s.OnLine != nil {
				s.OnLine(s, id, text)
			}
		}
	}()
	go s.report(id, listening, exited)
	go func() {
		<-done
		_ = cmd.Wait() // the error of a killed process is its signal
		s.d.Record.Printf("server %s has ended", id)
		close(exited)
		if s.Downtime > 0 {
			time.Sleep(s.Downtime)
			if err := s.start(); err != nil {
				s.d.Record.Printf("server %s does not start: %v", s.Name, err)
			}
		}
	}()
	return nil
}

// report writes the entry of a lifetime, and removes it when it has been silent for too long.
func (s *Server) report(id string, listening, exited <-chan struct{}) {
	select {
	case <-listening:
	case <-exited:
		return
	}
	born := time.Now()
	last := born
	value, err := s.entry(born)
	if err != nil {
		return
	}
	s.d.Store.Put("servers", id, value)
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case last = <-ticker.C:
			continue
		case <-exited:
		}
		break
	}
	time.Sleep(time.Until(last.Add(silenceLimit)))
	s.d.Store.Put("servers", id, nil)
}

// entry returns what a lifetime writes about itself.
func (s *Server) entry(born time.Time) ([]byte, error) {
	return json.Marshal(map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": "healthy",
		"cold_remaining_ms": 0, "sequence": 1, "born": born.UnixMilli(),
	})
}

// Kill kills the process.
func (s *Server) Kill() {
	s.mu.Lock()
	cmd, id := s.cmd, s.id
	s.mu.Unlock()
	s.d.Record.Printf("server %s is killed", id)
	_ = cmd.Process.Signal(syscall.SIGKILL)
}

func (s *Server) stop() {
	s.mu.Lock()
	s.stopped = true
	cmd, exited := s.cmd, s.exited
	s.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // it may have ended
		<-exited
	}
}

// lineListening is printed by a server process once it accepts connections.
const lineListening = "listening"

// Request is a request as a server process has read it.
type Request struct {
	Method, URI, ID string
	Header          map[string]string
	Body            string
}

// ServeProcess is the body of a server process: it listens at the address in the arguments and calls handle for each request,
// one after the other on a connection, until handle returns false.
func ServeProcess(handle func(c net.Conn, id string, r Request) (more bool)) {
	address, id := os.Args[2], os.Args[3]
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println("cannot listen:", err)
		os.Exit(ExitCannot)
	}
	fmt.Println(lineListening)
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			reader := bufio.NewReader(c)
			for {
				r, err := readRequest(reader)
				if err != nil {
					return
				}
				if want := r.Header["x-dotterelthread-expected-instance"]; want != "" && want != id {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Dotterelthread-Attempt-Id: %s\r\n"+
						"X-Dotterelthread-Instance-Id: %s\r\nX-Dotterelthread-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.ID, id)
					continue
				}
				if !handle(c, id, r) {
					return
				}
			}
		}()
	}
}

func readRequest(reader *bufio.Reader) (r Request, err error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return r, err
	}
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return r, fmt.Errorf("request line %q", line)
	}
	r.Method, r.URI, r.Header = fields[0], fields[1], make(map[string]string)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return r, err
		}
		name, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		if !ok {
			break
		}
		r.Header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	r.ID = r.Header["x-dotterelthread-attempt-id"]
	length := 0
	_, _ = fmt.Sscan(r.Header["content-length"], &length)
	body := make([]byte, length)
	for n := 0; n < length; {
		m, err := reader.Read(body[n:])
		if err != nil {
			return r, err
		}
		n += m
	}
	r.Body = string(body)
	return r, nil
}

// Signature is the signature of an answer.
func Signature(id string, r Request) string { return "mac-" + id + "-" + r.ID }
