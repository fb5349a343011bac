package api

import (
	"strings"
	"testing"

	"github.com/go-json-experiment/json"
)

const sound = `{"Id":"wk-000412","Clase":"train","Dueno":"vision","Forma":"group","Prelacion":"urgent","Tareas":16,
"Vcpus":8.0,"Accelerators":1.0,"MemoryGb":64.0,"Imagen":"img-07","SizeGb":6.2,"Tipos":["g8"],"Zona":null,
"Together":true,"Apart":false,"Prestadas":true,"EstimadoS":240.0,"RespaldoS":30.0,"GuardadoS":4.0,"PlazoS":900.0}`

func TestParseJob(t *testing.T) {
	j, err := ParseJob([]byte(sound))
	if err != nil || j.Tasks != 16 || j.Types[0] != "g8" || !j.OneZone || j.DeadlineS != 900 {
		t.Fatalf("got %+v, %v", j, err)
	}
	for _, c := range [][3]string{
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
		{sound, `[1]`, "object"},
		{sound, `{"Id":`, "valid"},
		{sound, ``, "object"},
		{`"train"`, `"` + strings.Repeat("x", MaxBody) + `"`, "64 KiB"},
	} {
		body := strings.Replace(sound, c[0], c[1], 1)
		_, err := ParseJob([]byte(body))
		switch {
		case body == sound:
			t.Errorf("the case %q changes nothing", c[0])
		case c[2] == "" && err != nil:
			t.Errorf("%q for %q: %v", c[1], c[0], err)
		case c[2] != "" && (err == nil || !strings.Contains(err.Error(), c[2])):
			t.Errorf("%.40q for %.40q: error %v does not say %q", c[1], c[0], err, c[2])
		}
	}
}

func TestNeedsOnce(t *testing.T) {
	j, err := ParseJob([]byte(strings.Replace(sound, `"PlazoS":900.0`, `"PlazoS":1,"Espera":["wk-9","wk-1","wk-9"]`, 1)))
	if err != nil || len(j.Dependencies) != 2 || j.Dependencies[0] != "wk-9" || j.Dependencies[1] != "wk-1" {
		t.Errorf("needs %q, %v", j.Dependencies, err)
	}
}

// TestAnyTypeStays guards against null types coming back as no type at all
// from a job's record: such a job could run nowhere.
func TestAnyTypeStays(t *testing.T) {
	j, err := ParseJob([]byte(strings.Replace(sound, `["g8"]`, `null`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(j)
	if err != nil {
		t.Fatal(err)
	}
	var back Job
	if err := json.Unmarshal(b, &back); err != nil || back.Types != nil {
		t.Errorf("any type became %#v, %v", back.Types, err)
	}
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(sound))
	f.Fuzz(func(t *testing.T, body []byte) {
		j, err := ParseJob(body)
		if err != nil {
			return
		}
		if !ValidID(j.ID) || j.Tasks < 1 || j.Priority.Tier() == 0 || j.CPUs < 0 {
			t.Errorf("a senseless job was taken: %+v", j)
		}
		if JobID(body) != j.ID {
			t.Errorf("id read as %q and %q", JobID(body), j.ID)
		}
	})
}

func FuzzParseReport(f *testing.F) {
	f.Add([]byte(`{"Maquina":"n-000231","Jornada":1,"Folio":88,"Baston":41,"AvisoS":null,"Tareas":[{"Tarea":"wk-000412/3","Intento":2,"Estado":"running"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if r, err := ParseHeartbeat(body); err == nil && (r.Machine == "" || r.Incarnation == 0) {
			t.Errorf("a report of nobody was taken: %+v", r)
		}
	})
}
