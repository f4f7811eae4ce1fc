package quorum

// entryLog is the log: a snapshot and the entries after it.
type entryLog struct {
	base    Snapshot
	entries []Entry
}

func (l *entryLog) last() uint64 {
	return l.base.Index + uint64(len(l.entries))
}

// term returns the term of the entry at index. It reports false if the term is unknown; it is known
// for the entries of the log and for the last entry that the snapshot replaced.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// slice returns the entries with indexes in [from, to) that the log has.
func (l *entryLog) slice(from, to uint64) []Entry {
	from = max(from, l.base.Index+1)
	to = min(to, l.last()+1)
	if from >= to {
		return nil
	}
	return l.entries[from-l.base.Index-1 : to-l.base.Index-1]
}

// batch returns the entries starting at index from, up to a size of bytes but at least one if there
// is any.
func (l *entryLog) batch(from uint64, bytes int) []Entry {
	all := l.slice(from, l.last()+1)
	for i, e := range all {
		bytes -= len(e.Data) + entryOverheadBytes
		if bytes < 0 && i > 0 {
			return all[:i]
		}
	}
	return all
}

// entryOverheadBytes is the size that batch counts for an entry in addition to its data.
const entryOverheadBytes = 16

// missing returns the suffix of entries that starts with the first one that the log lacks or has with
// another term.
func (l *entryLog) missing(entries []Entry) []Entry {
	for i, e := range entries {
		term, ok := l.term(e.Index)
		if !ok || term != e.Term {
			return entries[i:]
		}
	}
	return nil
}

// replace stores entries in place of all existing ones from the index of the first of them on.
func (l *entryLog) replace(entries []Entry) {
	l.entries = replaceTail(l.entries, entries)
}

// compact replaces the entries up to index by a snapshot.
func (l *entryLog) compact(index uint64, data []byte, members []Member) {
	term, ok := l.term(index)
	if !ok || index <= l.base.Index {
		return
	}
	rest := l.slice(index+1, l.last()+1)
	l.entries = append([]Entry(nil), rest...)
	l.base = Snapshot{Index: index, Term: term, Members: members, Data: data}
}

// members returns the latest membership in the log or snapshot and the index that it dates from.
func (l *entryLog) members() ([]Member, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == Config {
			return l.entries[i].Members, l.entries[i].Index
		}
	}
	return l.base.Members, l.base.Index
}

// replaceTail returns list with all entries from tail[0].Index on replaced by tail. It does not
// overwrite elements of list, because earlier slices of the same array may still be in use.
func replaceTail(list, tail []Entry) []Entry {
	if len(list) == 0 || tail[0].Index > list[len(list)-1].Index {
		return append(list, tail...)
	}
	if tail[0].Index <= list[0].Index {
		return append([]Entry(nil), tail...)
	}
	keep := int(tail[0].Index - list[0].Index)
	return append(append([]Entry(nil), list[:keep]...), tail...)
}
