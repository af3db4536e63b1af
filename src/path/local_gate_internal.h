#ifndef QL_PATH_LOCAL_GATE_INTERNAL_H
#define QL_PATH_LOCAL_GATE_INTERNAL_H

/**
 * DOC: Declarations shared by local_gate.c and local_gate_report.c.
 */

#include "path/local_gate.h"

G_BEGIN_DECLS

/**
 * ql_local_gate__apply_decisions() - Dispatch or refuse the queued calls that
 * the admission control has decided on, and update gauges and timer.
 */
void ql_local_gate__apply_decisions(ql_local_gate_t *gate);

/**
 * ql_local_gate__gate_opts() - Fill in the admission settings for the reported
 * endpoint.
 * @gate: the gate
 * @opts: settings to fill in
 */
void ql_local_gate__gate_opts(const ql_local_gate_t *gate,
			      ql_gate_opts_t *opts);

G_END_DECLS

#endif
