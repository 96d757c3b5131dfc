package messenger

import (
	"fmt"
	"net"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// BenchmarkConnections measures the heap and stack memory of open connections,
// both endpoints included.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			is := is.New(b)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			o := Options{Secret: []byte("secret"), Handle: func(*Conn, Message) (any, error) { return nil, nil }}
			go func() {
				for {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					Accept(nc, o)
				}
			}()
			before := memoryInUse()
			conns := make([]*Conn, n)
			for i := range conns {
				conns[i], err = Dial(b.Context(), l.Addr().String(), o)
				is.NoErr(err)
			}
			perConn := (memoryInUse() - before) / float64(n)
			for b.Loop() {
				conns[0].Notify(MethodNotice, Notice{})
			}
			b.ReportMetric(perConn, "held-bytes/conn")
			for _, c := range conns {
				c.Close()
			}
			is.NoErr(l.Close())
		})
	}
}

// memoryInUse returns the size of heap and stacks in bytes, after a garbage
// collection.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
