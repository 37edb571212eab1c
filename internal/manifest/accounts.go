package manifest

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
)

// KeyHash stands for the key with which the requests of a client account identify
// themselves. Only the hash is kept, so that no log or message can disclose a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Account is a client account: a customer whose requests are counted together.
type Account struct {
	Name     string
	Keys     []KeyHash // each of them identifies the account
	Priority int       // 0 to 9; higher is served first, and goes before the priority of the route
	Rate     float64   // requests per second over all entry hosts; 0 means no limit
	Burst    float64   // requests beyond Rate that may come at once
}

// Limited reports whether the account has a quota.
func (a *Account) Limited() bool { return a.Rate > 0 }

// Label returns the name for logs and counters, cut to MaxNameBytes: a publisher may use
// names of any length.
func (a *Account) Label() string { return strings.ToValidUTF8(truncate(a.Name), "?") }

// HasAccounts reports whether requests need the key of an account, except on public
// routes.
func (m *Manifest) HasAccounts() bool { return len(m.File.Accounts) > 0 }

// AccountOf returns the account that a key belongs to, or nil. Its cost does not depend on
// the number of accounts.
func (m *Manifest) AccountOf(key KeyHash) *Account { return m.accountsByKey[key] }

// mergeAccounts returns the accounts with one entry for each name. The settings of the first
// entry apply to the keys of all, so that their requests are counted together and have one
// quota.
func mergeAccounts(accounts []Account) []Account {
	merged := make([]Account, 0, len(accounts))
	first := make(map[string]int, len(accounts))
	for i := range accounts {
		if n, listed := first[accounts[i].Name]; listed {
			merged[n].Keys = slices.Concat(merged[n].Keys, accounts[i].Keys)
			continue
		}
		first[accounts[i].Name] = len(merged)
		merged = append(merged, accounts[i])
	}
	return merged
}

// indexAccounts returns the accounts by key. A key that several accounts list belongs to
// the first one.
func indexAccounts(accounts []Account) map[KeyHash]*Account {
	byKey := make(map[KeyHash]*Account, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		for _, k := range a.Keys {
			if byKey[k] == nil {
				byKey[k] = a
			}
		}
	}
	return byKey
}

// AccountProblem is an invalid setting of an account, and how the account is served
// nevertheless.
type AccountProblem struct {
	Account string // its label, or "" if it has no name
	Text    string
}

// CheckAccounts returns what is invalid in the accounts of a configuration. Texts never
// contain keys.
func CheckAccounts(accounts []Account) []AccountProblem {
	var problems []AccountProblem
	names := make(map[string]int, len(accounts))
	owners := make(map[KeyHash]int, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		report := func(format string, args ...any) {
			problems = append(problems, AccountProblem{Account: a.Label(), Text: fmt.Sprintf(format, args...)})
		}
		owner := i
		first, listed := names[a.Name]
		if a.Name == "" {
			report("entry %d has no name; backend servers get no account name with its requests", i+1)
		}
		if listed {
			owner = first
			report("is listed in the entries %d and %d; the settings of entry %d apply to the keys of both", first+1, i+1, first+1)
		} else {
			names[a.Name] = i
		}
		if a.Burst > 0 && !a.Limited() {
			report("has a burst without a rate; its requests are not limited")
		}
		for n, k := range a.Keys {
			if other, ok := owners[k]; !ok {
				owners[k] = owner
			} else if other != owner {
				report("key %d is also a key of account %q, which it identifies", n+1, accounts[other].Label())
			}
		}
	}
	return problems
}
