package cli

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
)

// TestBrokenResponses guards against an operator command that succeeds although the response
// is broken: one without a status counted as 200, and no alert was firing.
func TestBrokenResponses(t *testing.T) {
	const format = "HTTP/1.1 %s\r\nContent-Type: application/json\r\n%s\r\nContent-Length: 2\r\n\r\n[]"
	for response, ok := range map[string]bool{
		fmt.Sprintf(format, "200 OK", "A: b"):                                          true,
		fmt.Sprintf(format, "000 Nothing", "A: b"):                                     false,
		fmt.Sprintf(format, "000", "A: b"):                                             false,
		fmt.Sprintf(format, "099 Low", "A: b"):                                         false,
		fmt.Sprintf(format, "600 High", "A: b"):                                        false,
		fmt.Sprintf(format, "200 OK", "A b: c"):                                        false,
		fmt.Sprintf(format, "200 OK", "A : b"):                                         false,
		fmt.Sprintf(format, "200 OK", " A: b"):                                         false,
		fmt.Sprintf(format, "200 OK", "A\x00: b"):                                      false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\n[]\r\n\r\n":                         false,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n[]":                              false,
		"HTTP/1.1 103 Early\r\nA b: c\r\n\r\n" + fmt.Sprintf(format, "200 OK", "A: b"): false,
	} {
		t.Run(response, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = c.Write([]byte(response))
				}
			}()
			want := ExitUnreachable
			if ok {
				want = ExitOK
			}
			if code, stdout, stderr := run("alerts", "--operator", l.Addr().String()); code != want || (stderr == "") != ok {
				t.Errorf("exit code %d, want %d; %q, %q", code, want, stdout, stderr)
			}
		})
	}
}
