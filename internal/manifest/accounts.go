package manifest

import "crypto/sha256"

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

// HasAccounts reports whether requests need the key of an account, except on public
// routes.
func (m *Manifest) HasAccounts() bool { return len(m.File.Accounts) > 0 }

// AccountOf returns the account that a key belongs to, or nil. Its cost does not depend on
// the number of accounts.
func (m *Manifest) AccountOf(key KeyHash) *Account { return m.accountsByKey[key] }

// indexAccounts returns the accounts by key. A key that several accounts list belongs to
// the first one.
func indexAccounts(accounts []Account) map[KeyHash]*Account {
	if len(accounts) == 0 {
		return nil
	}
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
