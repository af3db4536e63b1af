#include "node/withdrawal_store.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"
#include "quetzalloft/thread.h"

#define FILE_NAME "withdrawals"
/* The file is replaced when it has grown by this and to double its length. */
#define GROWTH_MIN_BYTES (64u << 10)
#define RETRY_INTERVAL_US (100 * QL_US_PER_MS)
/* Least time between two log lines of a write that goes on failing. */
#define FAILURE_LOG_INTERVAL_US (10 * QL_US_PER_S)

/* Withdrawals to be written. */
typedef struct {
	GPtrArray *payloads;
	uint64_t number;
	bool replaces;
} batch_t;

static void restore(ql_withdrawal_store_t *store, const GPtrArray *payloads,
		    uint64_t now_ms)
{
	guint i, n_failed = 0;

	for (i = 0; i < payloads->len; i++)
		if (ql_registrar_restore_withdrawal(store->registrar,
						    payloads->pdata[i], now_ms))
			n_failed++;
	if (payloads->len)
		ql_log(n_failed ? LOG_ERR : LOG_NOTICE, "withdrawals_restored",
		       QL_UINT("n", payloads->len - n_failed),
		       QL_UINT("failed", n_failed));
}

int ql_withdrawal_store_init(ql_withdrawal_store_t *store, const char *folder,
			     bool is_locked, uint64_t now_ms, GError **error)
{
	GPtrArray *payloads;
	int ret;

	ret = is_locked ? ql_folder_disk_init_second(&store->folder, folder,
						     error)
			: ql_folder_disk_init(&store->folder, folder, error);
	if (ret)
		return ret;
	store->file.disk.ops = &ql_folder_disk_ops;
	store->file.disk.data = &store->folder;
	store->file.name = FILE_NAME;
	payloads =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	ret = ql_frame_file_read(&store->file, payloads, error);
	if (!ret)
		restore(store, payloads, now_ms);
	else
		ql_folder_disk_finish(&store->folder);
	g_ptr_array_unref(payloads);
	store->needs_replacement = true;
	if (!ret)
		ql_cond_init(&store->changed);
	return ret;
}

static bool has_grown(const ql_withdrawal_store_t *store)
{
	return store->file.bytes >
	       MAX(2 * store->replaced_bytes,
		   store->replaced_bytes + GROWTH_MIN_BYTES);
}

/* Waits for unsaved withdrawals; false when the thread is to end. */
static bool take_batch(ql_withdrawal_store_t *store, batch_t *batch)
{
	ql_registrar_t *registrar = store->registrar;
	bool stopping;

	batch->replaces = store->needs_replacement || has_grown(store);
	pthread_mutex_lock(store->lock);
	while (!store->stopping &&
	       !ql_registrar_has_unsaved_withdrawals(registrar))
		pthread_cond_wait(&store->changed, store->lock);
	stopping = store->stopping;
	if (!stopping) {
		batch->number = registrar->withdrawals_change_number;
		batch->payloads = ql_registrar_encode_withdrawals(
			registrar,
			batch->replaces ? 0
					: registrar->withdrawals_saved_number);
	}
	pthread_mutex_unlock(store->lock);
	return !stopping;
}

static int write_batch(ql_withdrawal_store_t *store, const batch_t *batch,
		       GError **error)
{
	int ret = batch->replaces
			  ? ql_frame_file_replace(&store->file, batch->payloads,
						  error)
			  : ql_frame_file_append(&store->file, batch->payloads,
						 error);

	store->needs_replacement = ret != 0;
	if (!ret && batch->replaces)
		store->replaced_bytes = store->file.bytes;
	return ret;
}

static void set_saved(ql_withdrawal_store_t *store, uint64_t number)
{
	pthread_mutex_lock(store->lock);
	ql_registrar_set_withdrawals_saved(store->registrar, number);
	pthread_mutex_unlock(store->lock);
}

static void wait_for_retry(ql_withdrawal_store_t *store)
{
	uint64_t retry_us = ql_clock_now_us() + RETRY_INTERVAL_US;

	pthread_mutex_lock(store->lock);
	while (!store->stopping && ql_clock_now_us() < retry_us)
		ql_cond_wait_until(&store->changed, store->lock, retry_us);
	pthread_mutex_unlock(store->lock);
}

static void log_failure(uint64_t *next_log_us, const GError *error)
{
	uint64_t now_us = ql_clock_now_us();

	if (now_us < *next_log_us)
		return;
	*next_log_us = now_us + FAILURE_LOG_INTERVAL_US;
	ql_log_error(LOG_CRIT, "withdrawals_unsaved", error);
}

static void *run_thread(void *data)
{
	ql_withdrawal_store_t *store = data;
	uint64_t next_log_us = 0;
	GError *error = NULL;
	batch_t batch;

	while (take_batch(store, &batch)) {
		if (write_batch(store, &batch, &error)) {
			log_failure(&next_log_us, error);
			g_clear_error(&error);
			wait_for_retry(store);
		} else {
			set_saved(store, batch.number);
		}
		g_ptr_array_unref(batch.payloads);
	}
	return NULL;
}

void ql_withdrawal_store_start(ql_withdrawal_store_t *store)
{
	store->thread = g_thread_new("withdrawals", run_thread, store);
}

void ql_withdrawal_store_wake(ql_withdrawal_store_t *store)
{
	if (ql_registrar_has_unsaved_withdrawals(store->registrar))
		pthread_cond_signal(&store->changed);
}

void ql_withdrawal_store_stop(ql_withdrawal_store_t *store)
{
	if (!store->thread)
		return;
	pthread_mutex_lock(store->lock);
	store->stopping = true;
	pthread_cond_signal(&store->changed);
	pthread_mutex_unlock(store->lock);
	g_thread_join(store->thread);
}

void ql_withdrawal_store_finish(ql_withdrawal_store_t *store)
{
	pthread_cond_destroy(&store->changed);
	ql_folder_disk_finish(&store->folder);
}
