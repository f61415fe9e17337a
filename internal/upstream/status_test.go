package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

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
