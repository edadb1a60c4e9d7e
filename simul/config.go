package simul

import "fmt"

// Host is the host name of all routes in the configurations of Config.
const Host = "front.example"

// ConfigKey is the store key under which operators write the configuration.
const ConfigKey = "op/config"

// Config returns the given version of a test configuration. It has a route for
// streams of model m that may be resumed, one for those that may not, a route for plain calls that run at most once and a route for
// calls that may be repeated. Version N also has a public route /markN/, and the
// key key-N beside good-key, so that tests can see which version is in force.
func Config(version int) []byte {
	text := fmt.Sprintf(`{"version":%[1]d,"routes":[
 {"name":"talk","host":"%[2]s","path_prefix":"/talk/","type":"streaming","timeout_ms":8000,"target_latency_ms":500,"service":"engines","max_attempts":2,"resumable":true,"target_gap_ms":300},
 {"name":"tell","host":"%[2]s","path_prefix":"/tell/","type":"streaming","timeout_ms":8000,"target_latency_ms":500,"service":"engines","max_attempts":2,"target_gap_ms":300},
 {"name":"file","host":"%[2]s","path_prefix":"/file/","type":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":1},
 {"name":"read","host":"%[2]s","path_prefix":"/read/","type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2},
 {"name":"mark","host":"%[2]s","path_prefix":"/mark%[1]d/","type":"idempotent","timeout_ms":2000,"target_latency_ms":500,"service":"plain","max_attempts":2,"public":true}],
 "services":[{"name":"engines","health_path":"/healthz","max_connections":100,"engine":{"slots":8,"stride":1,"step_ms":5,"read_per_s":45000,"loads_per_s":5,"loads_at_once":7,"cached_prefixes":1,"report_lag_ms":50,"form_ms":50,
  "models":[{"name":"m","size":2,"traffic_share":1,"pace":1,"load_s":1,"warm_s":0.1}]}},
  {"name":"plain","health_path":"/healthz","max_connections":100}],
 "limits":{"max_body_bytes":100000},"tenants":[{"name":"guild","api_keys":["good-key","key-%[1]d"]}]}`, version, Host)
	return []byte(text)
}
