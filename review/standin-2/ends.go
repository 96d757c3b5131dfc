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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The deployment and the disruptions of the case.
const (
	endsServers = 60
	// endsClients is the number of streams in flight, two for each server.
	endsClients  = 2 * endsServers
	streamEvents = 12
	eventGap     = 100 * time.Millisecond
	// lossShare is the share of the packets of the links between the machine's zone and the
	// others that are lost, for lossTime at a time. A lost packet arrives when it is sent once more.
	lossShare  = 0.025
	lossTime   = 5500 * time.Millisecond
	lossPause  = 1700 * time.Millisecond
	retransmit = 200 * time.Millisecond
	// crashed servers, a quarter of all, are down for crashTime. Their objects lapse after
	// three heartbeats.
	crashCount = endsServers / 4
	crashTime  = 2 * time.Second
	lapseTime  = 3600 * time.Millisecond
	endsTime   = 96 * time.Second
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
	lossy atomic.Bool
	next  int
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
			go p.link(c, addr, zone != zoneName(0))
		}
	}()
	e := serverEntry("desk", zone, p.next)
	e["address"] = l.Addr().String()
	p.store.put("servers", s.id, e)
}

// link carries a connection to a server. What is lost on a link to another zone arrives later:
// data as well as the end of the connection.
func (p *endsPlay) link(c net.Conn, addr string, far bool) {
	defer func() { _ = c.Close() }()
	up, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	go func() {
		_, _ = io.Copy(up, c)
		_ = up.Close()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := up.Read(buffer)
		if far && p.lossy.Load() && rand.Float64() < lossShare {
			time.Sleep(retransmit)
		}
		if _, errWrite := c.Write(buffer[:n]); err != nil || errWrite != nil {
			return
		}
	}
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
	p := &endsPlay{rec: s.rec, store: newStore(s.rec)}
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
	all := newGateways(1, fleetSettings{folder: s.folder, program: s.program, store: p.store.addr})
	s.endAll(all)
	endGateways := cleanup
	cleanup = func() {
		endGateways()
		for _, v := range servers {
			_ = v.process.Process.Kill()
		}
	}
	all[0].start()
	all[0].awaitReady(10 * time.Second)
	end := time.Now().Add(endsTime)
	var clients, crashes sync.WaitGroup
	var whole, cut, failed, short atomic.Int64
	var first atomic.Pointer[string]
	for i := range endsClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%08x%08x", i, n)
				status, server, body, err := readStream(all[0].front, id)
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
	for s.trouble && time.Now().Before(end.Add(-lossTime)) {
		time.Sleep(lossPause)
		p.lossy.Store(os.Getenv("LOSS") != "0")
		s.rec.line("links lose %.3f of their packets", lossShare)
		for range 2 {
			p.crash(servers, &crashes)
			time.Sleep(lossTime/2 - crashTime)
		}
		p.lossy.Store(false)
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
