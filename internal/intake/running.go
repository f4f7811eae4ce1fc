package intake

// One account may take accountShare of accountParts of MaxRunning.
const (
	accountShare = 3
	accountParts = 4
)

// Enter takes a place for a request of an account that was read whole. It reports false if all places are taken, or all that
// one account may have. Otherwise Leave returns the place.
func (l *Limits) Enter(account string) bool {
	l.mu.Lock()
	total, own := l.entered, l.byAccount[account]
	if total >= l.MaxRunning || own >= max(l.MaxRunning*accountShare/accountParts, 1) {
		refused, isLogged := l.Busy.Add(1), l.mayLog(busyLine)
		l.mu.Unlock()
		if isLogged {
			l.Log.Info("request refused, as too many are running", "account", account, "running", total, "ofAccount", own, "refused", refused)
		}
		return false
	}
	defer l.mu.Unlock()
	if l.byAccount == nil {
		l.byAccount = make(map[string]int)
	}
	l.entered++
	l.byAccount[account]++
	l.trimIdle()
	return true
}

// Leave returns the place of a request.
func (l *Limits) Leave(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entered--
	if l.byAccount[account]--; l.byAccount[account] == 0 {
		delete(l.byAccount, account)
	}
}

// Running returns the number of requests that have a place.
func (l *Limits) Running() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.entered)
}

// open returns the number of descriptors that connections use: those of clients, and one to a server for each request.
func (l *Limits) open() int {
	return l.counts[waiting] + l.counts[idle] + l.counts[running] + l.entered
}

// trimIdle closes the connections that are idle for longest while there are more than MaxIdle, or than MaxOpen of all. It
// unlocks the limits meanwhile.
func (l *Limits) trimIdle() {
	for l.counts[idle] > l.MaxIdle || l.MaxOpen > 0 && l.open() > l.MaxOpen {
		oldest := l.oldestIdle()
		if oldest == nil {
			return
		}
		l.closeFor(oldest)
	}
}

// oldestIdle returns the connection that is idle for longest of those on which no further request has arrived; nil if there
// is none.
func (l *Limits) oldestIdle() *client {
	var oldest *client
	for _, c := range l.conns {
		if c.state == idle && (oldest == nil || c.since.Before(oldest.since)) && !c.hasUnread() {
			oldest = c
		}
	}
	return oldest
}
