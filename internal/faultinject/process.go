package faultinject

import (
	"sync"
	"syscall"
	"time"
)

const turn = 100 * time.Millisecond

// Pause stops a process until the returned function is called.
func Pause(pid int) (resume func()) {
	syscall.Kill(pid, syscall.SIGSTOP)
	return sync.OnceFunc(func() { syscall.Kill(pid, syscall.SIGCONT) })
}

// Throttle lets a process run for such a share of each tenth of a second only, until the returned function is called.
func Throttle(pid int, share float64) (free func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		on := time.Duration(share * float64(turn))
		for {
			syscall.Kill(pid, syscall.SIGSTOP)
			select {
			case <-stop:
			case <-time.After(turn - on):
			}
			syscall.Kill(pid, syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(on):
			}
		}
	}()
	return sync.OnceFunc(func() { close(stop); <-done })
}
