package faultinject

import (
	"sync"
	"syscall"
	"time"
)

const throttlePeriod = 100 * time.Millisecond // period of the stops of a throttled process

// signal sends a signal to a process, which may have ended.
func signal(pid int, sig syscall.Signal) { _ = syscall.Kill(pid, sig) }

// Pause stops a process until the returned function is called.
func Pause(pid int) (resume func()) {
	signal(pid, syscall.SIGSTOP)
	return sync.OnceFunc(func() { signal(pid, syscall.SIGCONT) })
}

// Throttle lets a process run only for a share of every 100 ms, until the returned function is called.
func Throttle(pid int, share float64) (free func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		running := time.Duration(share * float64(throttlePeriod))
		for {
			signal(pid, syscall.SIGSTOP)
			select {
			case <-stop:
			case <-time.After(throttlePeriod - running):
			}
			signal(pid, syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(running):
			}
		}
	}()
	return sync.OnceFunc(func() { close(stop); <-done })
}
