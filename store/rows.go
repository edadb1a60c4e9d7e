package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
)

// maxChips is the largest number of accelerators that an instance may state.
const maxChips = 1_000_000

// decodeInstances returns the instances of a list in JSON. A row that can't be decoded, or
// states a value out of its range, names no instance; the others hold. The error tells that
// the list has no end.
func decodeInstances(list []byte) (instances []Instance, odd int, err error) {
	rows, err := splitArray(list)
	if err != nil {
		return nil, 0, err
	}
	for _, row := range rows {
		var i Instance
		if json.Unmarshal(row, &i) != nil || i.check() != nil {
			odd++
			continue
		}
		instances = append(instances, i)
	}
	return instances, odd, nil
}

// check returns an error if a field is out of its range.
func (i Instance) check() error {
	switch {
	case i.ID == "":
		return errors.New("no id")
	case i.Chips < 0 || i.Chips > maxChips:
		return fmt.Errorf("chips is %d", i.Chips)
	}
	if !strings.Contains(i.Address, ":") {
		return nil // a name without a port
	}
	_, port, err := net.SplitHostPort(i.Address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q", port)
	}
	return nil
}

// errNoArray is the error of a list that is no array, or not whole.
var errNoArray = errors.New("not a whole array")

// splitArray returns the elements of an array in JSON, which may themselves be broken.
// Nothing is decoded, since the decoder gives up on a whole list where one element is
// nested too deeply.
func splitArray(data []byte) (elements [][]byte, err error) {
	depth, start := 0, 0
	quoted, escaped := false, false
	for i, c := range data {
		switch {
		case escaped:
			escaped = false
		case quoted:
			escaped = c == '\\'
			quoted = c != '"'
		case c == '"':
			quoted = true
		case c == '[' || c == '{':
			depth++
			if depth == 1 {
				start = i + 1
			}
		case c == ',' && depth == 1:
			elements = append(elements, data[start:i])
			start = i + 1
		case c == ']' || c == '}':
			depth--
			if depth > 0 {
				continue
			}
			if last := data[start:i]; len(elements) > 0 || !blank(last) {
				elements = append(elements, last)
			}
			return elements, nil
		}
	}
	return nil, errNoArray
}

// blank reports whether there is only white space.
func blank(data []byte) bool {
	for _, c := range data {
		if c != ' ' && c != '\t' && c != '\n' && c != '\r' {
			return false
		}
	}
	return true
}
