#ifndef QL_NODE_CONTEXT_H
#define QL_NODE_CONTEXT_H

/**
 * DOC: What every part of a node shares: settings, counters, clock, time line,
 * life cycles, and the document in force.
 */

#include "node/life_cycle.h"
#include "node/settings.h"
#include "quetzalloft/metadata.h"
#include "quetzalloft/timeline.h"
#include "util/counters.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_context - The shared parts.
 * @settings: borrowed
 * @counters: counters and latencies
 * @hlc: the clock of this process
 * @timeline: its events
 * @cycles: its state charts
 * @doc_lock: guards @doc
 * @doc: the document in force
 * @domain_answered: this node has asked its failure domain since its start
 * @version_received: told of each configuration version that a call carried
 * @version_received_data: passed to it
 */
typedef struct ql_context {
	const ql_settings_t *settings;
	ql_counters_t counters;
	ql_hlc_t hlc;
	ql_timeline_t timeline;
	ql_life_cycles_t cycles;
	pthread_mutex_t doc_lock;
	ql_document_t *doc;
	int domain_answered;
	void (*version_received)(void *data, uint64_t version);
	void *version_received_data;
} ql_context_t;

/**
 * ql_context_init() - Prepare the shared parts.
 * @context: the shared parts
 * @settings: borrowed
 * @error: detail of a failure
 *
 * Return: 0 or a failure of ql_life_cycles_load().
 */
int ql_context_init(ql_context_t *context, const ql_settings_t *settings,
		    GError **error);
void ql_context_finish(ql_context_t *context);

/**
 * ql_context_document() - The document in force.
 * @context: the shared parts
 *
 * Return: a new reference.
 */
ql_document_t *ql_context_document(ql_context_t *context);

/**
 * ql_context_set_document() - Put another document in force.
 * @context: the shared parts
 * @doc: the document; a reference is taken
 */
void ql_context_set_document(ql_context_t *context, ql_document_t *doc);

/**
 * ql_context_set_domain_answered() - The failure domain has answered.
 * @context: the shared parts
 */
void ql_context_set_domain_answered(ql_context_t *context);

/**
 * ql_context_is_ready() - Whether calls may be served.
 * @context: the shared parts
 *
 * Return: true once the failure domain was asked and a document is in force.
 */
bool ql_context_is_ready(ql_context_t *context);

/**
 * ql_context_observe_metadata() - Take over the clock and version of a peer.
 * @context: the shared parts
 * @metadata: headers that the peer sent
 */
void ql_context_observe_metadata(ql_context_t *context,
				 const ql_metadata_t *metadata);

/**
 * ql_context_tick_clock() - A stamp for a message to a peer.
 * @context: the shared parts
 *
 * Return: the stamp.
 */
uint64_t ql_context_tick_clock(ql_context_t *context);

G_END_DECLS

#endif
