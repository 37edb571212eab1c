package quota

// Counts holds what a Node has counted since its start.
type Counts [NumCounts]int64

// Indices of Counts.
const (
	Asks      = iota // asks sent
	Repeats          // asks sent once more
	Forwarded        // asks of other hosts passed on to the owner
	Grants           // asks answered as the owner
	Granted          // tokens in them
	Short            // grants of fewer tokens than requests waited
	GaveUp           // asks that nobody answered
	Fallback         // tokens of the fallback share
	Returns          // tokens that were not spent
	Takeovers        // accounts whose ownership began
	Losses           // accounts whose ownership ended
	Pauses           // times that this process did not run, and lost what it owned
	Handovers        // buckets passed on to the next owner
	NumCounts
)

// CountNames are the names of Counts in metrics.
var CountNames = [NumCounts]string{
	"asks", "ask_repeats", "asks_forwarded", "grants", "tokens_granted", "grants_short", "asks_unanswered",
	"fallback_tokens", "tokens_returned", "takeovers", "ownership_lost", "pauses", "handovers",
}
