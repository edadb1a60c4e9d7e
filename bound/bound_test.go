package bound

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100)
	is.NoErr(b.Take(60))
	is.True(IsTooLarge(b.Take(41)))
	is.NoErr(b.Take(40))
	b.Give(60)
	is.NoErr(b.Take(60))
}

func TestReadAll(t *testing.T) {
	errCut := errors.New("cut")
	for _, c := range []struct {
		name  string
		n     int // bytes
		err   error
		want  int
		large bool
	}{
		{"nothing", 0, nil, 0, false},
		{"as much as allowed", 100, nil, 100, false},
		{"a byte more", 101, nil, 0, true},
		{"much more", 100_000, nil, 0, true},
		{"cut short", 50, errCut, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.NewReader(strings.Repeat("x", c.n))
			got, err := ReadAll(text, 100)
			if c.err != nil {
				_, err = ReadAll(iotest.ErrReader(c.err), 100)
				is.Equal(err, c.err)
				return
			}
			is.Equal(len(got), c.want)
			is.Equal(IsTooLarge(err), c.large)
			is.True(text.Len() >= c.n-101) // the rest isn't read
		})
	}
}
