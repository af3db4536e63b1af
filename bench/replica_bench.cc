/*
 * Throughput and restart of the replicated configuration with three replicas
 * in one thread, each with a folder of the file system: accepted patches per
 * second, bytes that a restart reads and, for comparison, a register that
 * writes its whole state for each patch. TMPDIR selects the disk.
 */
#include "control/replica_cluster.h"
#include "quetzalloft/json.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstring>

namespace
{

const size_t N_REPLICAS = 3;
const uint32_t SNAPSHOT_ENTRIES = 2048;
const uint64_t N_PATCHES = 500;

/* One temporary folder for each replica; removed with its files. */
class Folders
{
      public:
	Folders()
	{
		for (auto &folder : folders) {
			char *path =
				g_dir_make_tmp("ql_replica_XXXXXX", nullptr);

			if (!path ||
			    ql_folder_disk_init(&folder, path, nullptr))
				g_error("no folder for the benchmark");
			g_free(path);
		}
	}

	~Folders()
	{
		for (auto &folder : folders) {
			char *path = g_strdup(folder.folder);

			remove_files(path);
			ql_folder_disk_finish(&folder);
			rmdir(path);
			g_free(path);
		}
	}

	std::vector<ql_disk_t> disks()
	{
		std::vector<ql_disk_t> list;

		for (auto &folder : folders)
			list.push_back({&ql_folder_disk_ops, &folder});
		return list;
	}

      private:
	static void remove_files(const char *path)
	{
		GDir *dir = g_dir_open(path, 0, nullptr);
		const char *name;

		while (dir && (name = g_dir_read_name(dir))) {
			char *file = g_build_filename(path, name, nullptr);

			unlink(file);
			g_free(file);
		}
		if (dir)
			g_dir_close(dir);
	}

	ql_folder_disk_t folders[N_REPLICAS];
};

/* A document with n_services services. */
std::string make_document(size_t n_services)
{
	std::string text = "{\"site\":\"bench\",\"attempts\":3,\"classes\":{"
			   "\"c\":{\"shed_order\":1}},\"services\":{";

	for (size_t i = 0; i < n_services; i++)
		text += std::string(i ? "," : "") + "\"service-" +
			std::to_string(i) +
			"\":{\"retry_ratio\":0.1,\"queue_ms\":50}";
	return text + "},\"routes\":{}}";
}

/* A patch that changes one number of the document. */
std::string make_patch(uint64_t number)
{
	return "{\"attempts\":" + std::to_string(3 + number % 10) + "}";
}

/* Submits n patches as one batch, each based on the version before it. */
void submit_chain(ReplicaCluster &cluster, uint64_t first, uint64_t n)
{
	for (uint64_t i = first; i < first + n; i++)
		cluster.submit_patch("p" + std::to_string(i), i, make_patch(i));
	ql_replica_flush(&cluster.leader()->config.replica);
	cluster.run_until_idle();
}

void submit_first_document(ReplicaCluster &cluster, size_t n_services)
{
	cluster.submit_patch("first", 0, make_document(n_services));
	ql_replica_flush(&cluster.leader()->config.replica);
	cluster.run_until_idle();
}

void accept_patches(benchmark::State &state)
{
	uint64_t batch = (uint64_t)state.range(0);
	Folders folders;
	ReplicaCluster cluster(folders.disks(), SNAPSHOT_ENTRIES);
	uint64_t version = 1;

	submit_first_document(cluster, (size_t)state.range(1));
	for (auto _ : state) {
		submit_chain(cluster, version, batch);
		version += batch;
	}
	if (cluster.leader()->state.doc->version != version)
		state.SkipWithError("not all patches were accepted");
	state.SetItemsProcessed((int64_t)(version - 1));
	state.counters["leader_writes_a_patch"] =
		(double)cluster.leader()->n_writes / (double)version;
}

void restart_after_500(benchmark::State &state)
{
	size_t n_restarted = (size_t)state.range(0);
	Folders folders;
	ReplicaCluster cluster(folders.disks(), (uint32_t)state.range(1));
	uint64_t bytes = 0;

	submit_first_document(cluster, 20);
	for (uint64_t i = 1; i < N_PATCHES; i++)
		submit_chain(cluster, i, 1);
	for (auto _ : state) {
		state.PauseTiming();
		for (size_t i = 0; i < n_restarted; i++)
			cluster.kill(i);
		state.ResumeTiming();
		bytes = 0;
		for (size_t i = 0; i < n_restarted; i++) {
			cluster.start(i);
			bytes += cluster.replicas[i]->bytes_read;
			if (cluster.replicas[i]->state.doc->version !=
			    N_PATCHES)
				state.SkipWithError("an old version");
		}
	}
	state.counters["bytes_read"] = (double)bytes;
}

/* Replaces a file atomically; it is durable when the function returns. */
void replace_file(const ql_disk_t &disk, const char *bytes, size_t length)
{
	if (disk.ops->append(disk.data, "state.new", bytes, length, nullptr) ||
	    disk.ops->sync(disk.data, "state.new", nullptr) ||
	    disk.ops->rename(disk.data, "state.new", "state", nullptr) ||
	    disk.ops->sync_folder(disk.data, nullptr))
		g_error("a write failed");
}

/* Compare-and-set without a log: each replica writes its whole state. */
void register_patches(benchmark::State &state)
{
	Folders folders;
	ql_config_state_t config;
	std::string first = make_document((size_t)state.range(0));
	ql_patch_t submitted = {};
	ql_patch_answer_t answer;
	uint64_t version = 0, bytes = 0;

	ql_config_state_init(&config);
	for (auto _ : state) {
		std::string text = version ? make_patch(version) : first;
		std::string id = "p" + std::to_string(version);

		g_strlcpy(submitted.id, id.c_str(), sizeof(submitted.id));
		submitted.base_version = version++;
		submitted.text = text.c_str();
		submitted.length = text.size();
		ql_config_state_apply(&config, &submitted, &answer);

		json_t *json = ql_config_state_save(&config);
		char *saved = ql_json_dump(json);

		for (const auto &disk : folders.disks())
			replace_file(disk, saved, strlen(saved));
		bytes += strlen(saved);
		free(saved);
		json_decref(json);
	}
	if (config.doc->version != version)
		state.SkipWithError("not all patches were accepted");
	ql_config_state_finish(&config);
	state.SetItemsProcessed((int64_t)version);
	state.counters["bytes_a_patch"] = (double)bytes / (double)version;
}

} // namespace

BENCHMARK(accept_patches)
	->ArgNames({"batch", "services"})
	->Args({1, 20})
	->Args({64, 20})
	->Args({1, 850})
	->Args({64, 850})
	->Unit(benchmark::kMillisecond)
	->UseRealTime();
BENCHMARK(register_patches)
	->ArgNames({"services"})
	->Arg(20)
	->Arg(850)
	->Unit(benchmark::kMillisecond)
	->UseRealTime();
BENCHMARK(restart_after_500)
	->ArgNames({"restarted", "snapshot_entries"})
	->Args({1, 2048})
	->Args({2, 2048})
	->Args({3, 2048})
	->Args({3, 128})
	->Unit(benchmark::kMillisecond)
	->UseRealTime();

BENCHMARK_MAIN();
