package gate

import "clementinehead.example/chead/conf"

// RampLimit returns the number of requests that may be in progress at an
// endpoint that has completed done requests since it started. The limit grows
// from ramp.Start to ramp.Full, by one for each ramp.Step completed requests,
// since an endpoint that has just started is cold.
func RampLimit(ramp conf.Ramp, done uint64) int {
	full := uint64(max(ramp.Full, ramp.Start))
	step := uint64(max(ramp.Step, 1))
	return int(min(full, uint64(ramp.Start)+done/step))
}
