package api

import "testing"

func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(`{"Maquina":"n-000231","Jornada":1,"Folio":88,"Baston":41,"AvisoS":null,` +
		`"Tareas":[{"Tarea":"wk-000412/3","Intento":2,"Estado":"running"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, err := ParseHeartbeat(body)
		if err == nil && (heartbeat.Machine == "" || heartbeat.Incarnation == 0) {
			t.Errorf("got a heartbeat without a sender: %+v, want an error", heartbeat)
		}
	})
}
