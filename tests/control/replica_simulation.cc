#include "control/replica_simulation.h"
#include "control/replica_cluster.h"
#include "control/replica_private.h"
#include "quetzalloft/error.h"

#include <algorithm>
#include <cstring>

namespace
{

const size_t N_SPARE_REPLICAS = 2;
const size_t MESSAGES_IN_FLIGHT_MAX = 400;
const size_t CONVERGENCE_TICKS_MAX = 400;
/* Ticks at the start, enough for the first election. */
const size_t FIRST_ELECTION_TICKS = 20;
const uint64_t TICK_MS = 20;
const uint64_t MESSAGE_MS = 5;
/* The clocks of the replicas differ by multiples of this. */
const uint64_t CLOCK_OFFSET_MS = 300;

/* Number of byte values, out of 256, that encode each operation. */
const std::pair<SimulationOp, unsigned int> WEIGHTS[] = {
	{OP_TICK, 22},	    {OP_TICK_ALL, 6},  {OP_DELIVER, 46},
	{OP_DROP, 7},	    {OP_REPEAT, 7},    {OP_WRITE, 30},
	{OP_ROUNDS, 26},    {OP_ISOLATE, 6},   {OP_CUT, 4},
	{OP_HEAL, 8},	    {OP_CRASH, 7},     {OP_RESTART, 14},
	{OP_DISK_FAILS, 3}, {OP_LOSE_DISK, 3}, {OP_PATCH, 22},
	{OP_RESEND, 9},	    {OP_CHANGE, 12},   {OP_READ, 10},
	{OP_RUN, 14},
};

SimulationOp choose_operation(uint8_t byte)
{
	unsigned int left = byte;

	for (const auto &weight : WEIGHTS) {
		if (left < weight.second)
			return weight.first;
		left -= weight.second;
	}
	return OP_TICK;
}

void send_message(void *data, ql_rpc_replica_message *message)
{
	SimulatedReplica *node = static_cast<SimulatedReplica *>(data);

	node->simulation->on_send(node, message);
}

void read_done(void *data, uint64_t token, int status)
{
	SimulatedReplica *node = static_cast<SimulatedReplica *>(data);

	node->simulation->on_read_done(node, token, status);
}

void role_changed(void *, ql_event_t)
{
}

void patch_decided(void *, const ql_patch_t *, const ql_patch_answer_t *)
{
}

void document_changed(void *, const ql_config_change_t *)
{
}

const ql_replicated_config_ops_t CONFIG_OPS = {send_message, read_done,
					       role_changed, patch_decided,
					       document_changed};

/* The callbacks of the replica, which are wrapped to check what is applied. */
const ql_replica_ops_t *original_ops;

void check_and_apply(void *data, const ql_journal_entry_t *entry)
{
	ql_replicated_config_t *config =
		static_cast<ql_replicated_config_t *>(data);
	SimulatedReplica *node = static_cast<SimulatedReplica *>(config->data);

	node->simulation->on_apply(node, entry);
	original_ops->apply(data, entry);
}

const ql_replica_ops_t *add_apply_check(const ql_replica_ops_t *ops)
{
	static ql_replica_ops_t checked_ops;

	original_ops = ops;
	checked_ops = *ops;
	checked_ops.apply = check_and_apply;
	return &checked_ops;
}

bool always_may_commit(const ql_replica_t *, uint64_t)
{
	return true;
}

bool always_settled(const ql_replica_t *)
{
	return true;
}

ql_rpc_replica_message *copy_message(ql_rpc_replica_message *message)
{
	xdrproc_t routine = (xdrproc_t)xdr_ql_rpc_replica_message;
	std::vector<char> bytes(xdr_sizeof(routine, message));
	auto *copy = static_cast<ql_rpc_replica_message *>(
		calloc(1, sizeof(*message)));
	XDR xdr;

	xdrmem_create(&xdr, bytes.data(), (u_int)bytes.size(), XDR_ENCODE);
	xdr_ql_rpc_replica_message(&xdr, message);
	xdrmem_create(&xdr, bytes.data(), (u_int)bytes.size(), XDR_DECODE);
	xdr_ql_rpc_replica_message(&xdr, copy);
	return copy;
}

} // namespace

const char *fault_name(Fault fault)
{
	switch (fault) {
	case Fault::SYNC_SKIPPED:
		return "SyncSkipped";
	case Fault::VOTE_NOT_STORED:
		return "VoteNotStored";
	case Fault::OLD_TERM_COMMITTED_BY_COUNT:
		return "OldTermCommittedByCount";
	case Fault::EMPTY_DISK_VOTES:
		return "EmptyDiskVotes";
	case Fault::SECOND_MEMBERSHIP_CHANGE_IN_PROGRESS:
		return "SecondMembershipChangeInProgress";
	case Fault::TRANSIT_TIME_IGNORED:
		return "TransitTimeIgnored";
	case Fault::CLOCK_READ_EARLY:
		return "ClockReadEarly";
	case Fault::OLD_PROOFS_KEPT:
		return "OldProofsKept";
	default:
		return "None";
	}
}

Schedule make_schedule(const std::vector<SimulationStep> &steps)
{
	Schedule schedule;

	for (const auto &step : steps) {
		unsigned int byte = 0;

		for (const auto &weight : WEIGHTS) {
			if (weight.first == step.op)
				break;
			byte += weight.second;
		}
		schedule.push_back((uint8_t)byte);
		schedule.push_back(step.first);
		schedule.push_back(step.second);
	}
	return schedule;
}

Schedule random_schedule(uint32_t seed, size_t length)
{
	GRand *random = g_rand_new_with_seed(seed);
	Schedule schedule(length);

	for (auto &byte : schedule)
		byte = (uint8_t)g_rand_int_range(random, 0, 256);
	g_rand_free(random);
	return schedule;
}

ReplicaSimulation::ReplicaSimulation(size_t n_replicas, Fault fault_,
				     DiskFailure disk_failure_)
    : fault(fault_), disk_failure(disk_failure_)
{
	std::vector<ql_rpc_replica_member> list;
	ql_rpc_replica_members members;

	rules = ql_replica_rules;
	if (fault == Fault::OLD_TERM_COMMITTED_BY_COUNT)
		rules.may_commit = always_may_commit;
	if (fault == Fault::SECOND_MEMBERSHIP_CHANGE_IN_PROGRESS)
		rules.members_settled = always_settled;
	opts = {&rules, replica_chart(), nullptr, 6, 2, 8, 3, 1, 4, 64, 0, 0, 0,
		0};
	for (size_t i = 0; i < n_replicas + N_SPARE_REPLICAS; i++) {
		nodes.push_back(std::make_unique<SimulatedReplica>());
		nodes[i]->simulation = this;
		nodes[i]->slot = i;
		nodes[i]->address = "127.0.0.1:" + std::to_string(i + 1);
		nodes[i]->disk.skip_sync = fault == Fault::SYNC_SKIPPED;
		start(*nodes[i]);
		write(*nodes[i]);
	}
	for (size_t i = 0; i < n_replicas; i++)
		list.push_back({nodes[i]->id,
				const_cast<char *>(nodes[i]->address.c_str()),
				TRUE});
	members.members.members_len = (u_int)list.size();
	members.members.members_val = list.data();
	ql_replica_bootstrap(&nodes[0]->config.replica, &members);
	write(*nodes[0]);
}

ReplicaSimulation::~ReplicaSimulation()
{
	for (auto &node : nodes)
		if (node->is_running)
			stop(*node, 0);
	while (!in_flight.empty())
		drop(0);
}

void ReplicaSimulation::report_violation(const std::string &what)
{
	if (violation.empty())
		violation = "step " + std::to_string(n_steps) + ": " + what;
}

void ReplicaSimulation::start(SimulatedReplica &node)
{
	ql_disk_t disk = node.disk.disk();
	ql_replicated_config_source_t source;
	GError *error = nullptr;

	if (ql_journal_open(&node.journal, &disk, &error)) {
		report_violation(std::string("journal: ") + error->message);
		g_error_free(error);
		node.is_broken = true;
		return;
	}
	if (node.has_synced && !node.journal.state.identity)
		report_violation(
			"replica " + std::to_string(node.id) +
			" returns without the data that it had synced");
	if (!node.journal.state.identity && fault != Fault::EMPTY_DISK_VOTES)
		node.id = 0;
	if (!node.id)
		node.id = next_id++;
	node.random = g_rand_new_with_seed((guint32)node.id);
	ql_config_state_init(&node.state);
	opts.random = node.random;
	/* A restart may be one of the machine, whose clock starts again. */
	node.clock_start_ms = now_ms - 1 - node.slot * CLOCK_OFFSET_MS / 2;
	node.n_proofs = 0;
	opts.clock_id = ++next_clock_id;
	source = {&node.journal, node.id, &node.state};
	if (ql_replicated_config_init(&node.config, &opts, &source, &CONFIG_OPS,
				      &node, &error)) {
		report_violation(std::string("start: ") + error->message);
		g_error_free(error);
	}
	node.config.replica.ops = add_apply_check(node.config.replica.ops);
	node.is_running = true;
	set_time(node);
}

void ReplicaSimulation::set_time(SimulatedReplica &node)
{
	ql_replica_set_time(&node.config.replica,
			    (now_ms - node.clock_start_ms) * 1000);
}

void ReplicaSimulation::stop(SimulatedReplica &node, unsigned int choice)
{
	if (node.has_write)
		ql_replica_write_finish(&node.write);
	node.has_write = false;
	ql_replicated_config_finish(&node.config);
	ql_config_state_finish(&node.state);
	ql_journal_finish(&node.journal);
	g_rand_free(node.random);
	node.disk.crash(choice);
	node.is_running = false;
	for (auto read = reads.begin(); read != reads.end();)
		read = read->second.slot == node.slot ? reads.erase(read)
						      : std::next(read);
}

/*
 * Returns whether in each list of voters that may be in use a majority has its
 * disk, not counting the replica "without".
 */
bool ReplicaSimulation::majority_is_intact(
	const SimulatedReplica *without) const
{
	VoterSet intact;

	for (const auto &node : nodes)
		if (node.get() != without)
			intact.insert(node->id);
	for (const auto &config : voters) {
		size_t left = 0;

		for (uint64_t id : config.second)
			left += intact.count(id);
		if (left < config.second.size() / 2 + 1)
			return false;
	}
	return true;
}

/* Before the first members are committed, the loss could undo the bootstrap. */
bool ReplicaSimulation::may_lose_disk(const SimulatedReplica &node) const
{
	return !log.empty() && majority_is_intact(&node);
}

void ReplicaSimulation::lose_disk(SimulatedReplica &node)
{
	if (node.is_broken || !may_lose_disk(node))
		return;
	if (node.is_running)
		stop(node, 0);
	node.disk.wipe();
	node.has_synced = false;
	if (fault != Fault::EMPTY_DISK_VOTES) {
		node.id = 0;
	} else {
		newest_seen.erase(node.id);
	}
	start(node);
}

void ReplicaSimulation::write(SimulatedReplica &node)
{
	if (!node.is_running)
		return;
	if (!node.has_write)
		node.has_write = ql_replica_take_write(&node.config.replica,
						       &node.write);
	if (!node.has_write)
		return;
	if (fault == Fault::VOTE_NOT_STORED)
		node.write.state.vote = 0;
	if (ql_replica_write_run(&node.write, &node.journal, nullptr)) {
		if (disk_failure == DiskFailure::STOPS)
			stop(node, (unsigned int)n_steps * 7);
		else
			ql_replica_write_failed(&node.config.replica);
		return;
	}
	ql_replica_write_finish(&node.write);
	node.has_write = false;
	node.has_synced = true;
	ql_replica_write_done(&node.config.replica, node.write.sequence);
}

/* Lets a disk fail after some calls, or recover when it fails already. */
void ReplicaSimulation::fail_disk(SimulatedReplica &node, uint8_t calls)
{
	unsigned int &left = node.disk.calls_until_failure;

	left = disk_failure == DiskFailure::RETRIES && left != FakeDisk::NEVER
		       ? FakeDisk::NEVER
		       : calls;
}

void ReplicaSimulation::tick(SimulatedReplica &node)
{
	now_ms += TICK_MS;
	if (!node.is_running)
		return;
	set_time(node);
	ql_replica_tick(&node.config.replica);
}

void ReplicaSimulation::on_send(SimulatedReplica *,
				ql_rpc_replica_message *message)
{
	/* The age on sending, which deliver() turns into a time again. */
	if (fault == Fault::TRANSIT_TIME_IGNORED &&
	    message->type == QL_REPLICA_APPEND)
		for (auto &node : nodes)
			if (node->id == message->to)
				message->clock_ms = now_ms -
						    node->clock_start_ms -
						    message->clock_ms;
	if (in_flight.size() >= MESSAGES_IN_FLIGHT_MAX)
		drop(0);
	in_flight.push_back(message);
}

void ReplicaSimulation::drop(size_t position)
{
	ql_replica_message_free(in_flight[position]);
	in_flight.erase(in_flight.begin() + (ptrdiff_t)position);
}

void ReplicaSimulation::deliver(size_t position, bool keep)
{
	ql_rpc_replica_message *message = copy_message(in_flight[position]);
	SimulatedReplica *from = nullptr, *to = nullptr;

	now_ms += MESSAGE_MS;
	if (!keep)
		drop(position);
	for (auto &node : nodes) {
		if (node->id == message->from)
			from = node.get();
		if (node->id == message->to)
			to = node.get();
	}
	if (to && to->is_running &&
	    !(from && partitions.count({from->slot, to->slot}))) {
		if (fault != Fault::CLOCK_READ_EARLY)
			set_time(*to);
		if (fault == Fault::TRANSIT_TIME_IGNORED &&
		    message->type == QL_REPLICA_APPEND)
			message->clock_ms = to->config.replica.now_us / 1000 -
					    message->clock_ms;
		ql_replica_deliver(&to->config.replica, message);
	}
	ql_replica_message_free(message);
}

/* Completes all writes, then delivers the messages that are in flight then. */
void ReplicaSimulation::rounds(size_t n)
{
	for (size_t i = 0; i < n; i++) {
		size_t waiting;

		for (auto &node : nodes)
			write(*node);
		for (waiting = in_flight.size(); waiting && !in_flight.empty();
		     waiting--)
			deliver(0, false);
	}
}

void ReplicaSimulation::set_partition(size_t a, size_t b, bool is_cut)
{
	if (is_cut) {
		partitions.insert({a, b});
		partitions.insert({b, a});
	} else {
		partitions.erase({a, b});
		partitions.erase({b, a});
	}
}

void ReplicaSimulation::heal()
{
	partitions.clear();
}

void ReplicaSimulation::check_answer(SimulatedPatch &patch,
				     const ql_patch_answer_t &answer)
{
	switch (answer.status) {
	case QL_E_PENDING:
	case QL_E_NOT_LEADER:
	case QL_E_UNAVAILABLE:
	case QL_E_FULL:
		return;
	default:
		break;
	}
	if (patch.answered &&
	    (patch.status != answer.status || patch.version != answer.version))
		report_violation("patch " + patch.id + " is answered " +
				 ql_error_name(answer.status) + " " +
				 std::to_string(answer.version) + " after " +
				 ql_error_name(patch.status) + " " +
				 std::to_string(patch.version));
	if (patch.answered)
		return;
	patch.answered = true;
	patch.status = answer.status;
	patch.version = answer.version;
	if (answer.status)
		return;
	n_accepted++;
	newest_accepted = std::max(newest_accepted, answer.version);
	if (!accepted_bases.emplace(patch.base, patch.id).second)
		report_violation("two patches were accepted against version " +
				 std::to_string(patch.base));
	if (answer.version != patch.base + 1)
		report_violation("patch " + patch.id + " resulted in version " +
				 std::to_string(answer.version));
}

void ReplicaSimulation::submit(SimulatedReplica &node, SimulatedPatch &patch)
{
	ql_patch_t submitted = {};
	ql_patch_answer_t answer;

	if (!node.is_running)
		return;
	g_strlcpy(submitted.id, patch.id.c_str(), sizeof(submitted.id));
	submitted.base_version = patch.base;
	submitted.text = patch.text.c_str();
	submitted.length = patch.text.size();
	ql_replicated_config_submit(&node.config, &submitted, &answer);
	ql_replica_flush(&node.config.replica);
	check_answer(patch, answer);
}

/* Submits a new patch, mostly against the version of this replica. */
void ReplicaSimulation::submit_new_patch(SimulatedReplica &node, uint8_t choice)
{
	auto patch = std::make_unique<SimulatedPatch>();
	std::string number = std::to_string(patches.size());

	if (!node.is_running)
		return;
	patch->id = "p" + number;
	patch->base = node.state.doc->version;
	if (choice % 8 == 0 && patch->base)
		patch->base--;
	patch->text = "{\"site\":\"s" + number +
		      "\",\"attempts\":3,\"classes\":{},\"services\":{},"
		      "\"routes\":{}}";
	patches.push_back(std::move(patch));
	submit(node, *patches.back());
}

void ReplicaSimulation::read(SimulatedReplica &node)
{
	uint64_t token = next_read++;

	if (!node.is_running)
		return;
	reads[token] = {node.slot, newest_accepted};
	if (ql_replica_start_read(&node.config.replica, token))
		reads.erase(token);
}

void ReplicaSimulation::on_read_done(SimulatedReplica *node, uint64_t token,
				     int status)
{
	auto found = reads.find(token);

	if (found == reads.end())
		return;
	if (!status) {
		n_reads++;
		if (node->state.doc->version < found->second.least_version)
			report_violation(
				"a read was confirmed as current with "
				"version " +
				std::to_string(node->state.doc->version) +
				" after version " +
				std::to_string(found->second.least_version) +
				" was accepted");
	}
	reads.erase(found);
}

/* Adds a replica as a learner, promotes it, or removes a voter. */
void ReplicaSimulation::change_members(SimulatedReplica &node, uint8_t choice)
{
	SimulatedReplica &other = *nodes[choice % nodes.size()];
	ql_replica_change_t next_change = {};
	const ql_replica_peer_t *peer;

	/* An identity that is not synced changes at the next restart. */
	if (!node.is_running || !other.is_running ||
	    !other.config.replica.synced_identity)
		return;
	peer = ql_replica_find_member(&node.config.replica, other.id);
	next_change.kind = !peer	 ? QL_REPLICA_ADD_LEARNER
			   : peer->voter ? QL_REPLICA_REMOVE
					 : QL_REPLICA_PROMOTE;
	next_change.id = other.id;
	next_change.address = other.address.c_str();
	ql_replica_change_members(&node.config.replica, &next_change, nullptr);
	ql_replica_flush(&node.config.replica);
}

/* Returns the leader for half of the choices, if there is one. */
SimulatedReplica &ReplicaSimulation::choose_replica(uint8_t choice)
{
	SimulatedReplica *found = choice >= 128 ? leader() : nullptr;

	return found ? *found : *nodes[choice % nodes.size()];
}

/* Runs ticks at all replicas and delivers their messages. */
void ReplicaSimulation::run_for(size_t n_ticks)
{
	for (size_t i = 0; i < n_ticks; i++) {
		for (auto &node : nodes)
			tick(*node);
		rounds(2);
		check();
	}
}

void ReplicaSimulation::step_message(uint8_t op, uint8_t first)
{
	size_t position;

	if (in_flight.empty())
		return;
	position = first % in_flight.size();
	if (op == OP_DROP)
		drop(position);
	else
		deliver(position, op == OP_REPEAT);
}

void ReplicaSimulation::step_failure(uint8_t op, uint8_t first, uint8_t second)
{
	SimulatedReplica &node = choose_replica(first);
	size_t other = second % nodes.size();

	switch (op) {
	case OP_ISOLATE:
		for (size_t i = 0; i < nodes.size(); i++)
			if (i != node.slot)
				set_partition(node.slot, i, true);
		break;
	case OP_CUT:
		if (other != node.slot)
			set_partition(node.slot, other, second < 128);
		break;
	case OP_HEAL:
		heal();
		break;
	case OP_CRASH:
		if (node.is_running)
			stop(node, second);
		break;
	case OP_RESTART:
		if (!node.is_running && !node.is_broken)
			start(node);
		break;
	case OP_DISK_FAILS:
		if (node.is_running)
			fail_disk(node, second % 8);
		break;
	default:
		lose_disk(node);
		break;
	}
}

void ReplicaSimulation::step_operator(uint8_t op, uint8_t first, uint8_t second)
{
	SimulatedReplica &node = choose_replica(first);

	switch (op) {
	case OP_PATCH:
		submit_new_patch(node, second);
		break;
	case OP_RESEND:
		if (!patches.empty())
			submit(node, *patches[second % patches.size()]);
		break;
	case OP_READ:
		read(node);
		break;
	default:
		change_members(node, second);
		break;
	}
}

void ReplicaSimulation::step(uint8_t op, uint8_t first, uint8_t second)
{
	switch (op) {
	case OP_TICK:
		for (int i = 0; i <= second % 12; i++)
			tick(choose_replica(first));
		break;
	case OP_TICK_ALL:
		for (auto &node : nodes)
			for (int i = 0; i <= first % 4; i++)
				tick(*node);
		break;
	case OP_DELIVER:
	case OP_DROP:
	case OP_REPEAT:
		step_message(op, first);
		break;
	case OP_WRITE:
		write(choose_replica(first));
		break;
	case OP_ROUNDS:
		rounds(1 + first % 6);
		break;
	case OP_RUN:
		run_for(1 + first % 16);
		break;
	case OP_PATCH:
	case OP_RESEND:
	case OP_READ:
	case OP_CHANGE:
		step_operator(op, first, second);
		break;
	default:
		step_failure(op, first, second);
		break;
	}
}

void ReplicaSimulation::on_apply(SimulatedReplica *node,
				 const ql_journal_entry_t *entry)
{
	gsize length;
	const char *data = static_cast<const char *>(
		g_bytes_get_data(entry->payload, &length));
	std::pair<uint64_t, std::string> entry_content = {entry->term,
							  std::string(data,
								      length)};
	auto found = log.emplace(entry->index, entry_content);
	uint64_t newest =
		applied_by_time.empty() ? 0 : applied_by_time.rbegin()->second;

	applied_by_time[now_ms] = std::max(newest, (uint64_t)entry->index);

	if (!found.second && found.first->second != entry_content)
		report_violation("replica " + std::to_string(node->id) +
				 " applies another entry " +
				 std::to_string(entry->index));
}

void ReplicaSimulation::check_leader(const SimulatedReplica &node)
{
	const ql_replica_t &replica = node.config.replica;

	if (replica.role != QL_REPLICA_LEADER)
		return;
	auto found = leaders.emplace(replica.state.term, node.id);

	if (found.first->second != node.id)
		report_violation("two leaders in term " +
				 std::to_string(replica.state.term));
}

void ReplicaSimulation::check_versions(const SimulatedReplica &node)
{
	uint64_t version = node.state.doc->version;
	auto digest = digests.emplace(version, node.state.doc->digest);
	auto newest = newest_seen.emplace(node.id, version);

	if (digest.first->second != node.state.doc->digest)
		report_violation("two documents of version " +
				 std::to_string(version));
	if (version < newest.first->second)
		report_violation("replica " + std::to_string(node.id) +
				 " goes back from version " +
				 std::to_string(newest.first->second) + " to " +
				 std::to_string(version));
	newest.first->second = version;
}

/* Whatever was applied before the time that a replica claims is applied here.
 */
void ReplicaSimulation::check_proof(SimulatedReplica &node)
{
	ql_replica_t &replica = node.config.replica;
	uint64_t proven_ms;

	if (fault == Fault::OLD_PROOFS_KEPT) {
		replica.n_proofs = std::max(replica.n_proofs, node.n_proofs);
		node.n_proofs = replica.n_proofs;
	}
	proven_ms = ql_replica_proven_ms(&replica);
	if (!proven_ms)
		return;
	n_proven++;
	auto after =
		applied_by_time.lower_bound(proven_ms + node.clock_start_ms);
	if (after == applied_by_time.begin())
		return;
	if (std::prev(after)->second > replica.applied)
		report_violation("replica " + std::to_string(node.id) +
				 " has entry " +
				 std::to_string(replica.applied) +
				 " and proves that it was the newest when " +
				 std::to_string(std::prev(after)->second) +
				 " was applied elsewhere");
}

/* Records the voters; lists older than one that is applied are dropped. */
void ReplicaSimulation::record_voters(const SimulatedReplica &node)
{
	const ql_replica_t &replica = node.config.replica;
	uint64_t index = replica.members_index;
	VoterSet set;

	for (size_t i = 0; i < replica.n_peers; i++)
		if (replica.peers[i].voter)
			set.insert(replica.peers[i].id);
	if (set.empty())
		return;
	voters[{index, ql_replica__term_at(&replica, index)}] = set;
	if (index <= replica.applied)
		voters.erase(voters.begin(), voters.lower_bound({index, 0}));
}

void ReplicaSimulation::check()
{
	for (auto &node : nodes) {
		if (!node->is_running)
			continue;
		check_leader(*node);
		check_versions(*node);
		check_proof(*node);
		record_voters(*node);
	}
}

SimulatedReplica *ReplicaSimulation::leader()
{
	SimulatedReplica *newest = nullptr;

	for (auto &node : nodes) {
		const ql_replica_t &replica = node->config.replica;

		if (node->is_running && replica.role == QL_REPLICA_LEADER &&
		    (!newest ||
		     newest->config.replica.state.term < replica.state.term))
			newest = node.get();
	}
	return newest;
}

/* Submits a last patch, or submits it again to get its answer. */
bool ReplicaSimulation::commit_last_patch()
{
	SimulatedReplica *node = leader();

	if (!node)
		return false;
	if (!last_patch || (last_patch->answered && last_patch->status)) {
		auto patch = std::make_unique<SimulatedPatch>();

		patch->id = "last" + std::to_string(patches.size());
		patch->base = node->state.doc->version;
		patch->text = "{\"site\":\"last\",\"attempts\":4,"
			      "\"classes\":{},\"services\":{},"
			      "\"routes\":{}}";
		last_patch = patch.get();
		patches.push_back(std::move(patch));
	}
	if (!last_patch->answered)
		submit(*node, *last_patch);
	return last_patch->answered && !last_patch->status;
}

bool ReplicaSimulation::voters_have_newest()
{
	const SimulatedReplica *first = leader();
	const ql_replica_peer_t *peer;

	for (const auto &node : nodes) {
		peer = ql_replica_find_member(&first->config.replica, node->id);
		if (node->is_running && peer && peer->voter &&
		    node->state.doc->version < newest_accepted)
			return false;
	}
	return true;
}

/* Returns whether a last patch is accepted and all voters have its version. */
bool ReplicaSimulation::converge()
{
	for (size_t i = 0; i < CONVERGENCE_TICKS_MAX && violation.empty();
	     i++) {
		for (auto &node : nodes)
			tick(*node);
		rounds(2);
		check();
		if (commit_last_patch() && voters_have_newest())
			return true;
	}
	return false;
}

std::string ReplicaSimulation::describe() const
{
	std::string text;

	for (const auto &node : nodes) {
		const ql_replica_t &replica = node->config.replica;
		char line[256];

		g_snprintf(line, sizeof(line),
			   "\n%zu: id %u %s term %u leader %u log %u..%u "
			   "commit %u applied %u synced %u/%u snapshot %u "
			   "version %u members %u:",
			   node->slot, (unsigned int)node->id,
			   node->is_running ? ql_replica_role_name(&replica)
					    : "down",
			   (unsigned int)replica.state.term,
			   (unsigned int)replica.leader,
			   (unsigned int)replica.base_index,
			   (unsigned int)ql_replica_last_index(&replica),
			   (unsigned int)replica.state.commit,
			   (unsigned int)replica.applied,
			   (unsigned int)replica.synced_index,
			   (unsigned int)replica.synced_commit,
			   (unsigned int)replica.snapshot.index,
			   (unsigned int)node->state.doc->version,
			   (unsigned int)replica.members_index);
		text += line;
		for (size_t i = 0; i < replica.n_peers; i++)
			text += (replica.peers[i].voter ? " v" : " l") +
				std::to_string(replica.peers[i].id);
	}
	return text;
}

void ReplicaSimulation::finish()
{
	heal();
	for (auto &node : nodes) {
		node->disk.calls_until_failure = FakeDisk::NEVER;
		if (!node->is_running && !node->is_broken)
			start(*node);
	}
	check();
	/* A voter may be removed right after another has lost its disk. */
	if (!majority_is_intact(nullptr))
		return;
	if (!converge())
		report_violation("no progress after the end of all faults" +
				 describe());
	if (!violation.empty())
		return;
	for (auto &patch : patches)
		if (patch->answered)
			submit(*leader(), *patch);
}

void ReplicaSimulation::run(const Schedule &schedule)
{
	size_t i;

	run_for(FIRST_ELECTION_TICKS);
	for (i = 0; i + 2 < schedule.size() && violation.empty(); i += 3) {
		n_steps++;
		step(choose_operation(schedule[i]), schedule[i + 1],
		     schedule[i + 2]);
		check();
	}
	if (violation.empty())
		finish();
}
