package conf

// Document is the operators' configuration. Each field is a section, and each
// section belongs to one team. The zero value is a valid, empty document.
type Document struct {
	Models    map[string]Model    `json:"models,omitempty"`
	Groups    map[string]Group    `json:"groups,omitempty"`
	Capacity  Capacity            `json:"capacity,omitzero"`
	Accounts  map[string]Account  `json:"accounts,omitempty"`
	Domains   map[string]Domain   `json:"domains,omitempty"`
	Instances map[string]Instance `json:"instances,omitempty"`
	Services  map[string]Service  `json:"services,omitempty"`
	Limits    Limits              `json:"limits,omitzero"`
}

// Model is a model that endpoints can load.
type Model struct {
	Versions []string `json:"versions"`           // at least one
	Adapters []string `json:"adapters,omitempty"` // besides none
	Gigabyte float64  `json:"gigabyte"`           // size of the weights of one replica, GB
}

// Group is a model group: replicas that span Size instances each and offer a
// model, an adapter and a version to client accounts. Callers name it by the
// group's key or by its model.
type Group struct {
	Model    string   `json:"model"`
	Adapter  string   `json:"adapter,omitempty"`
	Version  string   `json:"version"`
	Size     int      `json:"size"`     // instances a replica, 1 to MaxSize
	Replicas int      `json:"replicas"` // wanted
	Accounts []string `json:"accounts"` // keys of the accounts section
	Priority int      `json:"priority,omitempty"`
}

// Capacity says how replicas are spread and brought up.
type Capacity struct {
	Spread int  `json:"spread,omitempty"` // failure domains a group should stand in at least
	Loads  int  `json:"loads,omitempty"`  // replicas that may load weights at once, over all
	Spares int  `json:"spares,omitempty"` // instances to keep unplaced in each fabric domain
	Ramp   Ramp `json:"ramp,omitzero"`
}

// Ramp is the slow start of an endpoint: the number of requests in progress
// that it may have, by the requests it has completed since it started.
type Ramp struct {
	Start int `json:"start,omitempty"` // in progress at first
	Step  int `json:"step,omitempty"`  // completed requests for one more
	Full  int `json:"full,omitempty"`  // in progress when warm
}

// Account is a client account.
type Account struct {
	Keys     []string `json:"keys"`               // SHA-256 of its bearer keys, hexadecimal
	Weight   float64  `json:"weight,omitempty"`   // share when capacity is short
	Rate     float64  `json:"rate,omitempty"`     // requests a second, 0 for no limit
	Burst    int      `json:"burst,omitempty"`    // requests at once above the rate
	Inflight int      `json:"inflight,omitempty"` // requests in progress a replica, 0 for no limit
	Priority int      `json:"priority,omitempty"` // the highest that it may ask for
}

// Domain is a failure domain.
type Domain struct {
	Region string `json:"region"`
	Out    bool   `json:"out,omitempty"` // taken out of service
}

// Instance is an operators' note on one endpoint instance.
type Instance struct {
	Out bool `json:"out,omitempty"` // taken out of service
}

// Service is a plain service beside the model engines.
type Service struct {
	Addresses []string `json:"addresses"` // host:port
	Accounts  []string `json:"accounts"`
	Once      bool     `json:"once,omitempty"` // calls are not repeatable unless a caller says otherwise
	Timeout   Duration `json:"timeout,omitempty"`
	Inflight  int      `json:"inflight,omitempty"` // calls in progress a daemon and address
}

// Limits bound what one request may take.
type Limits struct {
	Body    int64    `json:"body,omitempty"`    // bytes
	Tokens  int      `json:"tokens,omitempty"`  // a request
	Request Duration `json:"request,omitempty"` // from acceptance to the last byte
	First   Duration `json:"first,omitempty"`   // from dispatch to the first byte
	Gap     Duration `json:"gap,omitempty"`     // between bytes of a stream
	Queue   int      `json:"queue,omitempty"`   // requests waiting at a gate
	Wait    Duration `json:"wait,omitempty"`    // longest wait at a gate
	Retries float64  `json:"retries,omitempty"` // retries for each request of an account, 0 to 1
	Window  Duration `json:"window,omitempty"`  // how long a not-repeatable request is remembered
	Entries Duration `json:"entries,omitempty"` // how long an answer of /v1/entries holds
}
