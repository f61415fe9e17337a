package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/timer"
)

// Guards against bytes that are no answer in the protocol and reach a caller as one: the server of
// net/http takes codes from 100 to 999, the protocol those up to 599, of three digits.
func TestStatusOfAnAnswerIsValid(t *testing.T) {
	for status, valid := range map[string]bool{
		"200 OK": true, "204": true, "404 ": true, "503 Busy": true, "599 x": true,
		"000 OK": false, "001 OK": false, "020 OK": false, "099 OK": false, "+20 OK": false, "-20 OK": false, " 20 OK": false, "600 OK": false, "999 OK": false,
		"20 OK": false, "2000 OK": false, "abc OK": false, "": false,
	} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			address := serve(t, func(_ int, c net.Conn) {
				defer func() { _ = c.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: a\r\nContent-Length: 0\r\n\r\n", status)
			})
			resp, err := NewPool(Options{Timers: timer.NewService()}).Do(t.Context(), call(address, "a"))
			if valid {
				require.NoError(t, err)
				resp.Close()
				return
			}
			var failed *Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.MayHaveArrived())
		})
	}
}

// Guards against an answer without a length that is cut off and looks complete: the target answers
// while the request is being written, or when the buffers of the sockets hold the rest of it, and
// resets the connection.
func TestAnswerThatIsResetIsNotComplete(t *testing.T) {
	for _, size := range []int{0, 100, 64 << 10, 1 << 20, 4 << 20, 16 << 20} {
		for _, linger := range []bool{false, true} { // whether the rest of the answer is dropped at the reset
			t.Run(fmt.Sprintf("%d bytes, linger %t", size, linger), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(uint64(size), 1))
				for range 30 {
					delay := time.Duration(random.IntN(8_000)) * time.Microsecond
					address := serve(t, func(_ int, c net.Conn) {
						_, _ = bufio.NewReaderSize(c, 16).ReadString('\n') // the rest stays unread
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\npart of the answer")
						time.Sleep(delay)
						if linger {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						_ = c.Close()
					})
					request := call(address, "a")
					request.Body = bytes.Repeat([]byte("x"), size)
					resp, err := NewPool(Options{Timers: timer.NewService()}).Do(t.Context(), request)
					if err != nil {
						continue
					}
					text, err := io.ReadAll(resp)
					require.Error(t, err, "complete with %q", text)
					require.False(t, resp.BodyComplete())
					resp.Close()
				}
			})
		}
	}
}
