package observe

import (
	"reflect"
	"strings"
	"sync/atomic"
	"unicode"

	"github.com/rcrowley/go-metrics"
)

// Registry returns a registry with one gauge for each atomic counter of the groups, named group.field in snake case. A group is
// a pointer to a counter or to a struct with counters as fields.
func Registry(groups map[string]any) metrics.Registry {
	r := metrics.NewRegistry()
	Register(r, groups)
	return r
}

// Register adds the groups to a registry, as Registry does.
func Register(r metrics.Registry, groups map[string]any) {
	for name, group := range groups {
		register(r, name, reflect.ValueOf(group).Elem())
	}
}

func register(r metrics.Registry, name string, v reflect.Value) {
	var read func() int64
	switch c := v.Addr().Interface().(type) {
	case *atomic.Uint64:
		read = func() int64 { return int64(c.Load()) }
	case *atomic.Int64:
		read = c.Load
	}
	if read != nil {
		r.GetOrRegister(name, metrics.NewFunctionalGauge(read))
		return
	}
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			register(r, name+"."+snakeCase(v.Type().Field(i).Name), v.Field(i))
		}
	}
}

// SetGauges sets one gauge for each integer field of a struct, named as by Register. It is for counters that one goroutine owns
// and that are therefore not atomic.
func SetGauges(r metrics.Registry, name string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			SetGauges(r, name+"."+snakeCase(v.Type().Field(i).Name), v.Field(i))
		}
	case reflect.Uint64:
		metrics.GetOrRegisterGauge(name, r).Update(int64(v.Uint()))
	case reflect.Int, reflect.Int64:
		metrics.GetOrRegisterGauge(name, r).Update(v.Int())
	}
}

// Values returns the values of the gauges by name. encoding/json writes them sorted by name.
func Values(r metrics.Registry) map[string]int64 {
	out := make(map[string]int64)
	r.Each(func(name string, v any) {
		if g, ok := v.(metrics.Gauge); ok {
			out[name] = g.Value()
		}
	})
	return out
}

// snakeCase converts MixedCaps to mixed_caps.
func snakeCase(name string) string {
	var b strings.Builder
	lower := false
	for _, c := range name {
		if unicode.IsUpper(c) && lower {
			b.WriteByte('_')
		}
		lower = !unicode.IsUpper(c)
		b.WriteRune(unicode.ToLower(c))
	}
	return b.String()
}
