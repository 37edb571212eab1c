package admission

const (
	// defaultMemory is assumed for a host without a memory limit.
	defaultMemory = 128 << 20
	// connectionBytes is the memory of a connection of a caller without a request: its read
	// buffer, goroutine and socket.
	connectionBytes = 12 << 10
	// pipelineShare is the part of the memory for requests that one connection may take up
	// with more than one request.
	pipelineShare = 1.0 / 32
)

// Shares are the parts of the resources of a host that clients may take up. What they leave
// is for the program, the state of the fleet, connections to backend servers, responses that
// arrive, and garbage that is not yet collected; docs/CAPACITY.md has the account.
type Shares struct {
	BodyMemory       float64 // bodies of requests
	RequestMemory    float64 // heads, fields, waiting responses; see RequestCost
	ConnectionMemory float64 // connections of callers without a request
	Descriptors      float64 // file descriptors for connections of callers
}

// Limits are the limits of the listener for callers.
type Limits struct {
	Connections   int   // open connections
	RequestBytes  int64 // heads, fields, waiting responses; see RequestCost
	BodyBytes     int64 // bodies of requests
	PipelineBytes int64 // of RequestBytes, by one connection with several requests in flight
}

// Plan returns the limits of a host with so many bytes of memory and file descriptors, and
// of at most maxConnections. Zero bytes or descriptors mean that the figure is not known.
func Plan(memory int64, descriptors, maxConnections int, s Shares) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	part := func(share float64) int64 { return int64(share * float64(memory)) }
	l := Limits{
		Connections:  int(min(int64(maxConnections), part(s.ConnectionMemory)/connectionBytes)),
		RequestBytes: part(s.RequestMemory), BodyBytes: part(s.BodyMemory),
		PipelineBytes: int64(pipelineShare * float64(part(s.RequestMemory))),
	}
	if descriptors > 0 {
		l.Connections = min(l.Connections, int(s.Descriptors*float64(descriptors)))
	}
	l.Connections = max(1, l.Connections)
	return l
}
