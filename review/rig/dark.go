//go:build review

package main

import (
	"flag"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// darken makes new connections to the address hang, as those to a machine without power do: a
// listener takes the address whose queue is full, so that the kernel drops opening packets.
func darken(address string) (lighten func()) {
	host, portText, err := net.SplitHostPort(address)
	must(err)
	port, err := strconv.Atoi(portText)
	must(err)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	must(err)
	must(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	sa := &syscall.SockaddrInet4{Port: port}
	copy(sa.Addr[:], net.ParseIP(host).To4())
	for range 50 {
		if err = syscall.Bind(fd, sa); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	must(err)
	must(syscall.Listen(fd, 0))
	var conns []net.Conn
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 60*time.Millisecond)
		if err != nil {
			break
		}
		conns = append(conns, c)
	}
	return func() {
		syscall.Close(fd)
		for _, c := range conns {
			c.Close()
		}
	}
}

// goDark ends the engine's process, and its machine with it: open connections end in order, new
// ones hang.
func (e *engine) goDark() (lighten func()) {
	e.mu.Lock()
	e.crashed = true
	conns := e.conns
	e.conns = make(map[net.Conn]struct{})
	e.mu.Unlock()
	e.listener.Close()
	lighten = darken(e.address)
	for c := range conns {
		c.Close()
	}
	return lighten
}

var darkMode = flag.String("mode", "dark", "what a lost engine's address does: dark or refuse")

func init() {
	// Answers without length end with their connections. One engine in eight is lost in each of two
	// rounds, and one app server of four in the first.
	scenarios["dark"] = func(trouble bool) ([]string, []string) {
		w := newWorld(2, 8, 4)
		defer w.end()
		for _, e := range w.engines {
			e.odd = func(r *http.Request) string {
				if strings.HasPrefix(r.URL.Path, "/s") {
					return "unframed"
				}
				return "unframedslow"
			}
			e.events, e.eventEvery = 60, 50*time.Millisecond
		}
		if !w.startDaemons() {
			panic("not ready")
		}
		time.Sleep(time.Second)
		lose := func(service string) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for i, e := range w.engines {
				if e.service != service {
					continue
				}
				w.engines = append(w.engines[:i:i], w.engines[i+1:]...)
				rec.note("%s is lost for good", e.id)
				if *darkMode == "dark" {
					e.goDark()
				} else {
					e.crash(false)
				}
				time.AfterFunc(3600*time.Millisecond, func() { w.store.Put("servers", e.id, "") })
				return
			}
		}
		var group sync.WaitGroup
		send := func(n int, p spec) {
			for range n {
				group.Go(func() {
					c := &client{key: "key-a", tenant: "smiths"}
					defer c.close()
					c.do(w.anyDaemon, p)
				})
			}
		}
		for round := range 2 {
			send(48, spec{kind: "stream", method: "POST", path: "/s/", host: w.host, model: "*", deadline: 20 * time.Second})
			time.Sleep(600 * time.Millisecond)
			send(8, spec{kind: "unsafe", method: "POST", path: "/u/", host: w.host, body: randomBody(900), deadline: 3 * time.Second})
			send(8, spec{kind: "safe", method: "GET", path: "/r/", host: w.host, deadline: 3 * time.Second})
			time.Sleep(250 * time.Millisecond)
			if trouble {
				lose("pitch-pool")
				if round == 0 {
					lose("commission-desk")
				}
			}
			group.Wait()
			time.Sleep(5 * time.Second)
		}
		return rec.check(60), counts()
	}
}
