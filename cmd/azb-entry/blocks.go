package main

import (
	"runtime/debug"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"azurebridge/protocol/blocksfile"
	"azurebridge/state/blocks"
)

// clientBlocks holds the table in use that maps blocks of client addresses to regions. It is loaded at the start and again
// on SIGHUP.
type clientBlocks struct {
	file    string // path; empty for none
	current atomic.Pointer[blocks.Regions]
}

// load reads the file. On an error the blocks in use stay.
func (b *clientBlocks) load() error {
	if b.file == "" {
		return nil
	}
	r, err := blocksfile.Load(b.file)
	if err != nil {
		return err
	}
	b.current.Store(r)
	debug.FreeOSMemory() // parsing leaves more garbage than the size of the table, and the earlier table is garbage too
	return nil
}

func (b *clientBlocks) reload(log hclog.Logger) {
	if err := b.load(); err != nil {
		log.Error("client blocks not reloaded; the earlier ones stay in use", "error", err)
		return
	}
	if r := b.current.Load(); r != nil {
		log.Info("client blocks loaded", "ranges", r.Table().Len(), "bytes", r.Table().Bytes())
	}
}
