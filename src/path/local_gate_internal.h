#ifndef QL_PATH_LOCAL_GATE_INTERNAL_H
#define QL_PATH_LOCAL_GATE_INTERNAL_H

/**
 * DOC: What the files of the local gate share.
 */

#include "path/local_gate.h"

G_BEGIN_DECLS

/**
 * ql_local_gate__pump() - Carry out what the gate has decided on waiting calls.
 */
void ql_local_gate__apply_decisions(ql_local_gate_t *gate);

/**
 * ql_local_gate__opts() - The settings of admission for the known endpoint.
 */
void ql_local_gate__gate_opts(const ql_local_gate_t *gate,
			      ql_gate_opts_t *opts);

G_END_DECLS

#endif
