#include "node/context.h"

#include <string.h>

static ql_document_t *create_empty_document(void)
{
	json_t *json = json_object();
	ql_document_t *doc = NULL;

	if (ql_document_compile(&doc, json, 0, NULL))
		g_assert_not_reached();
	json_decref(json);
	return doc;
}

int ql_context_init(ql_context_t *context, const ql_settings_t *settings,
		    GError **error)
{
	int ret;

	memset(context, 0, sizeof(*context));
	context->settings = settings;
	ret = ql_life_cycles_load(&context->cycles, settings->charts, error);
	if (ret)
		return ret;
	ql_hlc_init(&context->hlc);
	ql_timeline_init(&context->timeline, settings->node, &context->hlc, 0);
	pthread_mutex_init(&context->doc_lock, NULL);
	context->doc = create_empty_document();
	return 0;
}

void ql_context_finish(ql_context_t *context)
{
	ql_document_unref(context->doc);
	pthread_mutex_destroy(&context->doc_lock);
	ql_timeline_finish(&context->timeline);
}

ql_document_t *ql_context_document(ql_context_t *context)
{
	ql_document_t *doc;

	pthread_mutex_lock(&context->doc_lock);
	doc = ql_document_ref(context->doc);
	pthread_mutex_unlock(&context->doc_lock);
	return doc;
}

void ql_context_set_document(ql_context_t *context, ql_document_t *doc)
{
	ql_document_t *old;

	pthread_mutex_lock(&context->doc_lock);
	old = context->doc;
	context->doc = ql_document_ref(doc);
	pthread_mutex_unlock(&context->doc_lock);
	ql_document_unref(old);
}

void ql_context_set_config_confirmed(ql_context_t *context)
{
	__atomic_store_n(&context->config_confirmed, 1, __ATOMIC_RELEASE);
}

bool ql_context_is_ready(ql_context_t *context)
{
	uint64_t version;

	if (!__atomic_load_n(&context->config_confirmed, __ATOMIC_ACQUIRE))
		return false;
	pthread_mutex_lock(&context->doc_lock);
	version = context->doc->version;
	pthread_mutex_unlock(&context->doc_lock);
	return version;
}

void ql_context_observe_metadata(ql_context_t *context,
				 const ql_metadata_t *metadata)
{
	if (metadata->has & QL_HAS_CLOCK)
		ql_hlc_observe(&context->hlc, metadata->clock,
			       ql_clock_wall_ms());
	if (metadata->has & QL_HAS_VERSION && context->version_received)
		context->version_received(context->version_received_data,
					  metadata->version);
}

uint64_t ql_context_tick_clock(ql_context_t *context)
{
	return ql_hlc_tick(&context->hlc, ql_clock_wall_ms());
}
