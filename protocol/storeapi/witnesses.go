package storeapi

import (
	"encoding/json"

	"github.com/pkg/errors"

	"azurebridge/coordination/homelease"
	"azurebridge/state"
)

// witnessesValue is the stored form of the witnesses of a region.
type witnessesValue struct {
	Witnesses []state.InstanceName `json:"witnesses"`
}

// EncodeWitnesses returns the stored form of a record, without Number, which is the version of the key.
func EncodeWitnesses(r *homelease.Record) ([]byte, error) {
	data, err := json.Marshal(witnessesValue{Witnesses: r.Witnesses})
	return data, errors.Wrapf(err, "encode witnesses of %s", r.Region)
}

// DecodeWitnesses returns the record of a region from its entry, or nil when the key does not exist. It fails unless the
// entry names 1 to homelease.MaxWitnesses witnesses.
func DecodeWitnesses(region state.RegionName, e *Entry) (*homelease.Record, error) {
	if e.Version == 0 {
		return nil, nil
	}
	var r witnessesValue
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return nil, errors.Wrapf(err, "decode witnesses of %s", region)
	}
	if len(r.Witnesses) == 0 || len(r.Witnesses) > homelease.MaxWitnesses {
		return nil, errors.Errorf("decode witnesses of %s: %d names", region, len(r.Witnesses))
	}
	return &homelease.Record{Region: region, Number: e.Version, Witnesses: r.Witnesses}, nil
}
