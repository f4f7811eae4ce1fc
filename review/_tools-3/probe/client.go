package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// send sends one request on a connection of its own and returns the status and the body of the answer; 0 without one.
func send(ip, method, path, id, key, headers string, deadline time.Duration) (int, string) {
	conn, err := net.DialTimeout("tcp", at(ip, callerPort), time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n%s\r\n", method, path, id, deadline.Milliseconds(), key, headers)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, err.Error()
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// at returns the address of a port.
func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
