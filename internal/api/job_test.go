package api

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/go-json-experiment/json"
)

// validSubmission is a submission that is valid.
const validSubmission = `{"Id":"wk-000412","Clase":"train","Dueno":"vision","Forma":"group","Prelacion":"urgent","Tareas":16,
"Vcpus":8.0,"Accelerators":1.0,"MemoryGb":64.0,"Imagen":"img-07","SizeGb":6.2,"Tipos":["g8"],"Zona":null,
"Together":true,"Apart":false,"Prestadas":true,"EstimadoS":240.0,"RespaldoS":30.0,"GuardadoS":4.0,"PlazoS":900.0}`

func TestParseJob(t *testing.T) {
	job, err := ParseJob([]byte(validSubmission))
	if err != nil || job.Tasks != 16 || job.Types[0] != "g8" || !job.OneZone || job.DeadlineS != 900 {
		t.Fatalf("got %+v, %v", job, err)
	}
	// The error must hold want; with none the submission is valid.
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
		{`"train"`, `"` + strings.Repeat("x", MaxBody) + `"`, "64 KiB"},
	} {
		body := strings.Replace(validSubmission, tc.old, tc.replacement, 1)
		_, err := ParseJob([]byte(body))
		switch {
		case body == validSubmission:
			t.Errorf("the case %q changes nothing", tc.old)
		case tc.want == "" && err != nil:
			t.Errorf("%q for %q: %v", tc.replacement, tc.old, err)
		case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)):
			t.Errorf("%.40q for %.40q: error %v does not say %q", tc.replacement, tc.old, err, tc.want)
		}
	}
}

// TestFieldErrorSaysWhatWasSent guards that a refusal has its field and value apart from
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
			t.Errorf("%q for %q: error %#v, want %#v", tc.replacement, tc.old, err, tc.want)
		}
	}
}

// TestDependenciesOnce guards that a dependency named twice counts once.
func TestDependenciesOnce(t *testing.T) {
	job, err := ParseJob([]byte(strings.Replace(validSubmission, `"PlazoS":900.0`, `"PlazoS":1,"Espera":["wk-9","wk-1","wk-9"]`, 1)))
	if err != nil || !slices.Equal(job.Dependencies, []string{"wk-9", "wk-1"}) {
		t.Errorf("got %+v, %v", job, err)
	}
}

// TestAnyTypeStays guards against null types coming back as no type at all
// from a job's record: such a job could run nowhere.
func TestAnyTypeStays(t *testing.T) {
	job, err := ParseJob([]byte(strings.Replace(validSubmission, `["g8"]`, `null`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	var back Job
	if err := json.Unmarshal(encoded, &back); err != nil || back.Types != nil {
		t.Errorf("any type became %#v, %v", back.Types, err)
	}
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(validSubmission))
	f.Fuzz(func(t *testing.T, body []byte) {
		job, err := ParseJob(body)
		if err != nil {
			return
		}
		if !ValidID(job.ID) || job.Tasks < 1 || job.Priority.Tier() == 0 || job.CPUs < 0 {
			t.Errorf("a job that is not valid was taken: %+v", job)
		}
		if JobID(body) != job.ID {
			t.Errorf("id read as %q and %q", JobID(body), job.ID)
		}
	})
}
