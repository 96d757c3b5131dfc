package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The deployment and the disruptions of the case.
const (
	endsMachines = 3
	endsServers  = 30
	// endsClients is the number of streams in flight, two for each machine and server.
	endsClients  = 2 * endsMachines * endsServers
	streamEvents = 12
	eventGap     = 100 * time.Millisecond
	// silentShare is the share of the open connections to servers of one machine that fall
	// silent. After silentTime the machine's keep-alive shows it.
	silentShare = 0.5
	silentTime  = 3 * time.Second
	// crashed servers, a quarter of all, are down for crashTime. They crash crashDelay after the
	// connections have fallen silent. Their objects lapse after three heartbeats.
	crashCount = endsServers / 4
	crashDelay = 500 * time.Millisecond
	crashTime  = 2 * time.Second
	lapseTime  = 3600 * time.Millisecond
	endsRound  = 6 * time.Second
	endsTime   = 36 * time.Second
)

// serveStreams is the process of a server. It answers each request with a stream that has
// neither a length nor chunks and ends with its connection.
func serveStreams(id, addr string) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		os.Exit(exitNotRun)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			rid := req.Header.Get("Magnoliafront-Request-Id")
			if req.Header.Get("Magnoliafront-Expect-Instance") != id {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nMagnoliafront-Request-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", rid)
				return
			}
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Response-Signature: %s.%s\r\nContent-Type: text/event-stream\r\n\r\n", rid, id, rid)
			for i := 1; i <= streamEvents && err == nil; i++ {
				time.Sleep(eventGap)
				_, err = io.WriteString(c, streamEvent(rid, i))
			}
		}()
	}
}

func streamEvent(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, id, i) }

// streamServer is a server with the link in front of it.
type streamServer struct {
	id       string
	process  *exec.Cmd
	listener net.Listener
}

// endsPlay is the state of the case.
type endsPlay struct {
	rec   *record
	store *store
	next  int
	mu    sync.Mutex
	// open are the connections of the machines to the servers.
	open map[*link]struct{}
}

// start starts a server with a new id and registers it.
func (p *endsPlay) start(s *streamServer) {
	p.next++
	addr := freeAddress()
	s.id = fmt.Sprintf("i-%d", p.next)
	s.process = exec.Command(os.Args[0], "serve", s.id, addr)
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.process.Start(); err != nil {
		cannotRun("start a server: %v", err)
	}
	for range 100 {
		if c, err := net.Dial("tcp", addr); err == nil {
			_ = c.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		cannotRun("listen: %v", err)
	}
	s.listener = l
	zone := zoneName(p.next)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c, addr)
		}
	}()
	e := serverEntry("desk", zone, p.next)
	e["address"] = l.Addr().String()
	p.store.put("servers", s.id, e)
}

// link is a connection of a machine to a server.
type link struct {
	machine int
	// silent is closed when nothing more is passed on, also not the end of the connection.
	silent chan struct{}
}

// carry carries a connection to a server.
func (p *endsPlay) carry(c net.Conn, addr string) {
	defer func() { _ = c.Close() }()
	up, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	buffer := make([]byte, 4096)
	n, err := c.Read(buffer)
	if err != nil {
		return
	}
	l := &link{machine: machineOf(string(buffer[:n])), silent: make(chan struct{})}
	p.mu.Lock()
	p.open[l] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, l)
		p.mu.Unlock()
	}()
	if _, err := up.Write(buffer[:n]); err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			n, err := up.Read(buffer)
			select {
			case <-l.silent:
				return
			default:
			}
			if _, errWrite := c.Write(buffer[:n]); err != nil || errWrite != nil {
				return
			}
		}
	}()
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, _ = io.Copy(up, c)
	}()
	select {
	case <-l.silent:
	case <-left:
		return
	case <-ended:
		select {
		case <-l.silent:
		default:
			return
		}
	}
	// The machine may end a silent connection earlier.
	select {
	case <-left:
	case <-time.After(silentTime):
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// machineOf returns the number of the machine that sent a request. The first digits of its id
// are the number of the client.
func machineOf(head string) int {
	_, rest, _ := strings.Cut(head, "Magnoliafront-Request-Id: ")
	client, err := strconv.ParseInt(rest[:min(8, len(rest))], 16, 64)
	if err != nil {
		return -1
	}
	return int(client) % endsMachines
}

// silence lets connections of a machine to servers fall silent for good.
func (p *endsPlay) silence(machine int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*link
	for l := range p.open {
		if l.machine == machine {
			all = append(all, l)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	count := int(silentShare * float64(len(all)))
	for _, l := range all[:count] {
		close(l.silent)
		delete(p.open, l)
	}
	p.rec.line("%d of %d connections of machine %d to servers fall silent", count, len(all), machine+1)
}

// crash kills servers. Their addresses refuse connections from then on, and others take their
// place after crashTime.
func (p *endsPlay) crash(servers []*streamServer, wait *sync.WaitGroup) {
	for _, i := range rand.Perm(len(servers))[:crashCount] {
		s := servers[i]
		p.rec.line("server %s is killed", s.id)
		_ = s.process.Process.Kill()
		_ = s.listener.Close()
		_ = s.process.Wait()
		id := s.id
		time.AfterFunc(lapseTime, func() { p.store.remove("servers", id) })
		wait.Add(1)
		defer func() {
			defer wait.Done()
			p.start(s)
		}()
	}
	time.Sleep(crashTime)
}

// playEnds checks that a stream that is cut off by the end of its server does not look complete.
func playEnds(s setup) {
	p := &endsPlay{rec: s.rec, store: newStore(s.rec), open: map[*link]struct{}{}}
	p.store.put("config", "main", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "desk", "health_check": "/health", "max_connections": 500}},
		"routes": []any{map[string]any{
			"name": "r1", "host": "desk.example", "path_prefix": "/brief/", "route_type": "streaming", "service": "desk", "timeout_ms": 15000,
			"target_latency_ms": 1200, "target_gap_ms": 800, "priority": 2, "max_attempts": 1, "public": true, "resumable": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	servers := make([]*streamServer, endsServers)
	for i := range servers {
		servers[i] = &streamServer{}
		p.start(servers[i])
	}
	all := newGateways(endsMachines, fleetSettings{folder: s.folder, program: s.program, store: p.store.addr})
	s.endAll(all)
	endGateways := cleanup
	cleanup = func() {
		endGateways()
		for _, v := range servers {
			_ = v.process.Process.Kill()
		}
	}
	for _, g := range all {
		g.start()
	}
	for _, g := range all {
		g.awaitReady(10 * time.Second)
	}
	end := time.Now().Add(endsTime)
	var clients, crashes sync.WaitGroup
	var whole, cut, failed, short atomic.Int64
	var first atomic.Pointer[string]
	for i := range endsClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			sent, wholeHere := 0, 0
			defer func() {
				s.rec.line("client %d of %s sent streams %08x%08x to %08x%08x, %d of %d whole", i, all[i%endsMachines].name, i, 0, i, sent-1, wholeHere, sent)
			}()
			for n := 0; time.Now().Before(end); n++ {
				sent++
				id := fmt.Sprintf("%08x%08x", i, n)
				status, server, body, err := readStream(all[i%endsMachines].front, id)
				events := strings.Count(body, "\n\n")
				if events != streamEvents || err != nil {
					s.rec.line("stream %s: status %d, run by %q, %d of %d events, end: %v", id, status, server, events, streamEvents, err)
				}
				switch {
				case status != http.StatusOK:
					failed.Add(1)
				case err != nil:
					cut.Add(1)
				case events == streamEvents:
					wholeHere++
					whole.Add(1)
				default:
					short.Add(1)
					text := fmt.Sprintf("stream %s ended as complete after %d of %d events", id, events, streamEvents)
					s.rec.line("%s, without a reset", text)
					first.CompareAndSwap(nil, &text)
				}
			}
		}()
	}
	for round := 0; s.trouble && time.Now().Before(end.Add(-endsRound)); round++ {
		time.Sleep(endsRound - crashDelay - crashTime)
		if os.Getenv("SILENT") != "0" {
			p.silence(round % endsMachines)
		}
		time.Sleep(crashDelay)
		p.crash(servers, &crashes)
	}
	clients.Wait()
	crashes.Wait()
	s.rec.line("streams: %d whole, %d visibly cut, %d failed, %d ended as complete too early", whole.Load(), cut.Load(), failed.Load(), short.Load())
	if short.Load() > 0 {
		finish(exitBroken, s.rec, "ORDER is broken %d times: %s", short.Load(), *first.Load())
	}
	finish(exitHeld, s.rec, "ORDER held")
}

// readStream sends a request and reads the answer until its end. The error is nil if the end
// is orderly.
func readStream(addr, id string) (status int, server, body string, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	_, err = fmt.Fprintf(c, "POST /brief/1 HTTP/1.1\r\nHost: desk.example\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi", id)
	if err != nil {
		return 0, "", "", err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", "", err
	}
	data, err := io.ReadAll(r.Body)
	server, _, _ = strings.Cut(r.Header.Get("Magnoliafront-Response-Signature"), ".")
	return r.StatusCode, server, string(data), err
}
