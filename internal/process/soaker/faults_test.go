package soaker

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// injector brings about faults and planned work, which may overlap.
type injector struct {
	fleet  *fleet
	random *rand.Rand
	work   sync.WaitGroup
	// busy holds, for each entry, a token that a restart takes.
	busy []chan struct{}
}

func newInjector(f *fleet, seed uint64) *injector {
	j := &injector{fleet: f, random: rand.New(rand.NewPCG(seed, 1))}
	for range f.entries {
		c := make(chan struct{}, 1)
		c <- struct{}{}
		j.busy = append(j.busy, c)
	}
	return j
}

// run alternates between phases of any faults and of planned work alone.
func (j *injector) run(length time.Duration) {
	const phase = 3 * time.Second
	// calm is the time after which the effects of faults have passed.
	const calm = 4 * time.Second
	for end := time.Now().Add(length); time.Now().Before(end); {
		for stop := time.Now().Add(phase); time.Now().Before(stop); {
			j.step(j.disturb)
		}
		j.work.Wait()
		time.Sleep(calm)
		for stop := time.Now().Add(phase); time.Now().Before(stop); {
			j.step(j.plan)
		}
		j.work.Wait()
	}
}

// step starts one disturbance and waits a while.
func (j *injector) step(choose func() func()) {
	act := choose()
	j.work.Go(act)
	time.Sleep(time.Duration(50+j.random.IntN(450)) * time.Millisecond)
}

// plan chooses planned work, which must cut off nothing.
func (j *injector) plan() func() {
	f := j.fleet
	e, r := j.random.IntN(entries), j.random.IntN(runners)
	switch j.random.IntN(4) {
	case 0:
		return func() { j.exclusively(e, func() { f.entries[e].restart(syscall.SIGTERM) }) }
	case 1:
		return func() { f.entries[e].reload() }
	case 2:
		f.configure()
		return func() {}
	}
	// A runner that leaves serves for two seconds more.
	return func() {
		f.register(r, "draining")
		time.Sleep(time.Second)
		f.register(r, "ready")
	}
}

// disturb chooses a fault.
func (j *injector) disturb() func() {
	f := j.fleet
	e, r := j.random.IntN(entries), j.random.IntN(runners)
	lasting := time.Duration(100+j.random.IntN(1900)) * time.Millisecond
	during := func(begin, end func()) func() {
		return func() {
			defer f.begin()()
			begin()
			time.Sleep(lasting)
			end()
		}
	}
	link := mode(1 + j.random.IntN(int(modes)-1))
	store := emulator.StoreMode(1 + j.random.IntN(int(emulator.StoreLosingAnswers)))
	behaviour := emulator.RunnerBehaviour(1 + j.random.IntN(int(emulator.RunnerUnsigned)))
	switch j.random.IntN(11) {
	case 0:
		return func() {
			defer f.begin()()
			j.exclusively(e, func() { f.entries[e].restart(syscall.SIGKILL) })
		}
	case 1:
		return during(func() { f.entries[e].signal(syscall.SIGSTOP) }, func() { f.entries[e].signal(syscall.SIGCONT) })
	case 2:
		return func() {
			defer f.begin()()
			j.exclusively(e, func() { f.entries[e].restart(syscall.SIGTERM) })
		}
	case 3, 4:
		return during(func() { f.proxies[r].set(link) }, func() { f.proxies[r].set(pass) })
	case 5:
		return during(func() { f.entries[e].store.set(link) }, func() { f.entries[e].store.set(pass) })
	case 6:
		return during(func() { f.store.SetMode(store) }, func() { f.store.SetMode(emulator.StoreServing) })
	case 7:
		return during(f.store.Compact, f.configure)
	case 8:
		return during(func() { f.runners[r].SetBehaviour(behaviour) }, func() { f.runners[r].SetBehaviour(emulator.RunnerAnswers) })
	case 9:
		all := func(b emulator.RunnerBehaviour) {
			for _, x := range f.runners {
				x.SetBehaviour(b)
			}
		}
		return during(func() { all(behaviour) }, func() { all(emulator.RunnerAnswers) })
	}
	// The address of a runner that is gone serves another service.
	return during(func() { f.store.Put("servers", "i-gone", f.stranger.StoreSpec("desk", "ready")) }, func() { f.store.Delete("servers", "i-gone") })
}

// exclusively does something to an entry unless something else is being done.
func (j *injector) exclusively(e int, do func()) {
	select {
	case <-j.busy[e]:
		do()
		j.busy[e] <- struct{}{}
	default:
	}
}
