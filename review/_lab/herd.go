package main

import (
	"context"
	"syscall"
	"time"
)

func init() { cases["herd"] = killedBetweenCrashes }

// killedBetweenCrashes kills all machines at once after a request has crashed two runners. The
// request comes again when they are in touch. It checks that after the third crash the request
// reaches runners in at most three retries.
func killedBetweenCrashes(ctx context.Context, l *lab) (int, error) {
	if err := l.store.Put("op", "config", config(1, "key-a")); err != nil {
		return 0, err
	}
	zones := []string{"a", "b", "c"}
	crashed, err := l.startFragileRunners(9, zones)
	if err != nil {
		return 0, err
	}
	for _, m := range []struct{ name, zone string }{{"front-a-1", "a"}, {"front-a-2", "a"}, {"front-b-1", "b"}, {"front-c-1", "c"}} {
		if _, err := l.startVM(m.name, m.zone); err != nil {
			return 0, err
		}
	}
	if !l.waitReady(20 * time.Second) {
		return 0, errNotReady
	}
	time.Sleep(3 * time.Second)
	d := l.startLoad(l.vms, 4, "GET", "/look/1")
	for i := range 2 {
		l.sendPoison(l.vms[i])
		time.Sleep(4 * time.Second)
	}
	if l.trouble {
		for _, v := range l.vms {
			v.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(6 * time.Second)
	if !l.waitReady(15 * time.Second) {
		return 0, errNotReady
	}
	time.Sleep(window + time.Second)
	for i, end := 0, time.Now().Add(62*time.Second); time.Now().Before(end) && ctx.Err() == nil; i++ {
		l.sendPoison(l.vms[i%4])
		time.Sleep([]time.Duration{4 * time.Second, 1500 * time.Millisecond}[min(i/3, 1)])
	}
	d.stop()
	return l.judge(crashed.all())
}
