#ifndef QL_NODE_CONTEXT_H
#define QL_NODE_CONTEXT_H

/**
 * DOC: State that all services of a node share: settings, counters, clock,
 * timeline, life cycles and the configuration document in force.
 */

#include "node/life_cycle.h"
#include "node/settings.h"
#include "quetzalloft/metadata.h"
#include "quetzalloft/timeline.h"
#include "util/counters.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_context - State shared by the services of a node.
 * @settings: settings of the process; borrowed
 * @counters: counters, gauges and latency histograms of the process
 * @hlc: hybrid logical clock of the process
 * @timeline: events that the process recorded
 * @cycles: charts of attempts and of the node's shutdown
 * @doc_lock: guards @doc
 * @doc: configuration document in force, never NULL; an empty document with
 *       version 0 until the first one arrives
 * @config_confirmed: 1 once a registrar that is ready, or another node of the
 *                    failure domain, has answered since the start of the
 *                    process; accessed atomically
 * @version_received: called with each configuration version that a call or an
 *                    answer carried, on the thread that handles it; may be
 *                    NULL
 * @version_received_data: passed to @version_received
 */
typedef struct ql_context {
	const ql_settings_t *settings;
	ql_counters_t counters;
	ql_hlc_t hlc;
	ql_timeline_t timeline;
	ql_life_cycles_t cycles;
	pthread_mutex_t doc_lock;
	ql_document_t *doc;
	int config_confirmed;
	void (*version_received)(void *data, uint64_t version);
	void *version_received_data;
} ql_context_t;

/**
 * ql_context_init() - Load the life cycles and set up the shared state.
 * @context: uninitialised memory
 * @settings: borrowed; must outlive @context
 * @error: set on failure
 *
 * Return: 0, or an error of ql_life_cycles_load(). After a failure @context
 * holds nothing to release.
 */
int ql_context_init(ql_context_t *context, const ql_settings_t *settings,
		    GError **error);

/**
 * ql_context_finish() - Release the shared state.
 * @context: the shared state; no other thread uses it any more
 */
void ql_context_finish(ql_context_t *context);

/**
 * ql_context_document() - Get the configuration document in force.
 * @context: the shared state
 *
 * Return: a new reference, never NULL.
 */
ql_document_t *ql_context_document(ql_context_t *context);

/**
 * ql_context_set_document() - Put a configuration document in force.
 * @context: the shared state
 * @doc: the document; a reference is taken
 */
void ql_context_set_document(ql_context_t *context, ql_document_t *doc);

/**
 * ql_context_set_config_confirmed() - Record that the failure domain has
 * confirmed the configuration.
 * @context: the shared state
 */
void ql_context_set_config_confirmed(ql_context_t *context);

/**
 * ql_context_is_ready() - Check whether the node may serve calls.
 * @context: the shared state
 *
 * Return: true once the configuration is confirmed and a document with a
 * version above 0 is in force.
 */
bool ql_context_is_ready(ql_context_t *context);

/**
 * ql_context_observe_metadata() - Process the clock and the configuration
 * version that a peer sent.
 * @context: the shared state
 * @metadata: metadata headers of the peer
 *
 * Advances the hybrid logical clock and calls @version_received.
 */
void ql_context_observe_metadata(ql_context_t *context,
				 const ql_metadata_t *metadata);

/**
 * ql_context_tick_clock() - Get a timestamp for a message to a peer.
 * @context: the shared state
 *
 * Return: a timestamp of the hybrid logical clock.
 */
uint64_t ql_context_tick_clock(ql_context_t *context);

G_END_DECLS

#endif
