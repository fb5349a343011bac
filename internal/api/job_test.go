package api

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/go-json-experiment/json"
)

const validSubmission = `{"Id":"wk-000412","Clase":"train","Dueno":"vision","Forma":"group","Prelacion":"urgent","Tareas":16,
"Vcpus":8.0,"Accelerators":1.0,"MemoryGb":64.0,"Imagen":"img-07","SizeGb":6.2,"Tipos":["g8"],"Zona":null,
"Together":true,"Apart":false,"Prestadas":true,"EstimadoS":240.0,"RespaldoS":30.0,"GuardadoS":4.0,"PlazoS":900.0}`

func TestParseJob(t *testing.T) {
	job, err := ParseJob([]byte(validSubmission))
	if err != nil || job.Tasks != 16 || job.Types[0] != "g8" || !job.OneZone || job.DeadlineS != 900 {
		t.Fatalf("got %+v, error %v, want the fields of validSubmission", job, err)
	}
	// want is a part of the error; with an empty one the submission is valid.
	for _, tc := range []struct{ old, replacement, want string }{
		{`"Zona":null,`, ``, ""},
		{`"Tipos":["g8"]`, `"Tipos":null`, ""},
		{`"PlazoS":900.0`, `"PlazoS":null,"Nuevo":{"x":[1]}`, ""},
		{`"Id"`, `"id"`, "Id"},
		{`wk-000412`, `job-1`, "Id"},
		{`"Tareas":16`, `"Tareas":16.5`, "valid"},
		{`"Tareas":16`, `"Tareas":0`, "Tareas"},
		{`"Tareas":16`, `"Tareas":100001`, "Tareas"},
		{`"Vcpus":8.0`, `"Vcpus":-1`, "Vcpus"},
		{`"Vcpus":8.0`, `"Vcpus":1e999`, "valid"},
		{`"Vcpus":8.0,`, ``, "Vcpus"},
		{`"group"`, `"crowd"`, "Forma"},
		{`"urgent"`, `"asap"`, "Prelacion"},
		{`"Together":true,`, ``, "Together"},
		{`"Together":true`, `"Together":"yes"`, "valid"},
		{`"PlazoS":900.0`, `"PlazoS":null,"Espera":null`, ""},
		{`"PlazoS":900.0`, `"PlazoS":1,"Espera":[]`, ""},
		{`"PlazoS":900.0`, `"PlazoS":1,"Espera":["wk-000411","wk-000410","wk-000411"]`, ""},
		{`"PlazoS":900.0`, `"PlazoS":1,"Espera":"wk-000411"`, "valid"},
		{`"PlazoS":900.0`, `"PlazoS":1,"Espera":[411]`, "valid"},
		{`"PlazoS":900.0`, `"PlazoS":1,"Espera":["wk-000411","job"]`, "Espera"},
		{`"PlazoS":900.0`, `"PlazoS":1,"Espera":[null]`, "Espera"},
		{validSubmission, `[1]`, "object"},
		{validSubmission, `{"Id":`, "valid"},
		{validSubmission, ``, "object"},
		{`"train"`, `"` + strings.Repeat("x", MaxBodyBytes) + `"`, "64 KiB"},
	} {
		body := strings.Replace(validSubmission, tc.old, tc.replacement, 1)
		_, err := ParseJob([]byte(body))
		switch {
		case body == validSubmission:
			t.Errorf("case %q: got the unchanged submission, want a change", tc.old)
		case tc.want == "" && err != nil:
			t.Errorf("%q for %q: got error %v, want none", tc.replacement, tc.old, err)
		case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)):
			t.Errorf("%.40q for %.40q: got error %v, want one with %q", tc.replacement, tc.old, err, tc.want)
		}
	}
}

// TestFieldErrorSaysWhatWasSent guards against a FieldError whose field and value are only in
// its text.
func TestFieldErrorSaysWhatWasSent(t *testing.T) {
	for _, tc := range []struct {
		old, replacement string
		want             FieldError
	}{
		{`"Clase":"train",`, ``, FieldError{Field: "Clase", Reason: "is missing"}},
		{`"group"`, `"crowd"`, FieldError{Field: "Forma", Value: JobKind("crowd"), Reason: "must be array, group or daemon"}},
		{`"Vcpus":8.0`, `"Vcpus":-1`, FieldError{Field: "Vcpus", Value: -1.0, Reason: "must be between 0 and 1e9"}},
	} {
		_, err := ParseJob([]byte(strings.Replace(validSubmission, tc.old, tc.replacement, 1)))
		var got *FieldError
		if !errors.As(err, &got) || !reflect.DeepEqual(*got, tc.want) {
			t.Errorf("%q for %q: got error %#v, want %#v", tc.replacement, tc.old, err, tc.want)
		}
	}
}

// TestDependenciesOnce guards against a dependency that counts twice because it is named twice.
func TestDependenciesOnce(t *testing.T) {
	job, err := ParseJob([]byte(strings.Replace(validSubmission, `"PlazoS":900.0`, `"PlazoS":1,"Espera":["wk-9","wk-1","wk-9"]`, 1)))
	if err != nil || !slices.Equal(job.Dependencies, []string{"wk-9", "wk-1"}) {
		t.Errorf("got %+v, error %v, want the dependencies wk-9 and wk-1", job, err)
	}
}

// TestAnyTypeStays guards against a job that may use any type (null) whose types become an
// empty list in its record. No machine would be allowed for such a job.
func TestAnyTypeStays(t *testing.T) {
	job, err := ParseJob([]byte(strings.Replace(validSubmission, `["g8"]`, `null`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Job
	if err := json.Unmarshal(encoded, &decoded); err != nil || decoded.Types != nil {
		t.Errorf("got types %#v, error %v, want nil and no error", decoded.Types, err)
	}
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(validSubmission))
	f.Fuzz(func(t *testing.T, body []byte) {
		job, err := ParseJob(body)
		if err != nil {
			return
		}
		if !ValidJobID(job.ID) || job.Tasks < 1 || job.Priority.Tier() == 0 || job.CPUs < 0 {
			t.Errorf("got the invalid job %+v, want an error", job)
		}
		if ParseJobID(body) != job.ID {
			t.Errorf("got id %q from ParseJobID, want %q", ParseJobID(body), job.ID)
		}
	})
}
