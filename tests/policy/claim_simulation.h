#ifndef QL_TESTS_POLICY_CLAIM_SIMULATION_H
#define QL_TESTS_POLICY_CLAIM_SIMULATION_H

/*
 * Simulates keepers, copies of one request with an idempotency key, and the
 * messages in flight between them. A schedule, a string of bytes, decides what
 * happens next: each pair of bytes is the kind of a step and a selector.
 */

#include "quetzalloft/claim.h"
#include "quetzalloft/clock.h"

#include <memory>
#include <string>
#include <vector>

namespace claim_test
{

constexpr uint64_t kRetentionUs = 600 * QL_US_PER_S;
constexpr uint64_t kTickUs = QL_US_PER_S;
constexpr uint32_t kLeaseMs = 1500;
constexpr size_t kInFlightMax = 64;
constexpr size_t kActiveCopiesMax = 4;

/* sets: bit masks of keepers; ignore_violations: continue after one. */
struct Options {
	const ql_claim_rules_t *rules = &ql_claim_rules;
	uint32_t n_keepers = 3;
	std::vector<uint32_t> sets = {7};
	bool ignore_violations = false;
};

/*
 * What the endpoint and the callers observe. ClaimSimulation::total counts over
 * the whole simulation, ClaimSimulation::observed since the last expiry of all
 * keys. duplicates: runs after the first; duplicates_without_claims: copies
 * that would be duplicates if each one ran.
 */
struct Observations {
	int runs = 0;
	int reported_not_run = 0;
	int wins = 0;
	int copies = 0;
	int duplicates = 0;
	int duplicates_without_claims = 0;
	int results[QL_CLAIM_TIMED_OUT + 1] = {};
	std::string answer;
	bool ran_after_not_run = false;
	bool wrong_answer = false;
};

/*
 * A copy of the request at a gate; gate_alive is false after a crash of the
 * gate, pending until the claim ends.
 */
struct Copy {
	ql_claim_t claim;
	std::string body;
	bool gate_alive = true;
	bool pending = true;
};

struct Message {
	size_t copy;
	uint32_t step;
	uint32_t keeper;
	bool is_reply;
	ql_claim_request_t request;
	ql_claim_reply_t reply;
	std::string answer;
};

class ClaimSimulation
{
      public:
	explicit ClaimSimulation(const Options &options)
	    : options_(options), keepers_(options.n_keepers),
	      partitioned_(options.n_keepers, false)
	{
		for (auto &keeper : keepers_)
			StartKeeper(&keeper, 0);
		now_us_ = kRetentionUs;
	}

	~ClaimSimulation()
	{
		for (auto &copy : copies_)
			ql_claim_finish(&copy->claim);
		for (auto &keeper : keepers_)
			ql_keeper_finish(&keeper);
	}

	void RunSchedule(const std::string &schedule)
	{
		for (size_t i = 0; i + 1 < schedule.size(); i += 2) {
			if (!options_.ignore_violations &&
			    !FindViolation().empty())
				return;
			Step((uint8_t)schedule[i], (uint8_t)schedule[i + 1]);
		}
	}

	/* Returns a description of the violated guarantee, or "". */
	std::string FindViolation() const
	{
		if (observed.runs > 1)
			return "ran twice";
		if (observed.ran_after_not_run ||
		    (observed.reported_not_run && observed.runs))
			return "ran although reported not run";
		return observed.wrong_answer ? "wrong answer" : "";
	}

	Observations observed;
	Observations total;

      private:
	void StartKeeper(ql_keeper_t *keeper, uint64_t now_us)
	{
		ql_keeper_opts_t opts = {options_.rules, kRetentionUs, 8,
					 1 << 20};

		ql_keeper_init(keeper, &opts, now_us);
	}

	/*
	 * Most steps deliver a message; all others are rare enough that claims
	 * still end.
	 */
	void Step(uint8_t kind, uint8_t selector)
	{
		if (kind < 10)
			StartCopy(QL_CLAIM_RUN, "body");
		else if (kind < 13)
			StartCopy(QL_CLAIM_SEAL, "body");
		else if (kind < 14)
			StartCopy(QL_CLAIM_RUN, "other");
		else if (kind < 24)
			DropMessage(selector);
		else if (kind < 34)
			DuplicateMessage(selector);
		else if (kind < 40)
			now_us_ += kTickUs;
		else if (kind < 44)
			partitioned_[selector % partitioned_.size()] =
				!partitioned_[selector % partitioned_.size()];
		else if (kind < 46)
			CrashKeeper(selector);
		else if (kind < 48)
			CrashGate(selector);
		else if (kind < 56)
			StopWaiting(selector);
		else if (kind < 57)
			ExpireKeys();
		else if (kind < 62)
			FailKeeper(selector);
		else if (kind < 64)
			GiveUp(selector);
		else
			DeliverMessage(selector);
	}

	void StartCopy(ql_claim_kind_t kind, const char *body)
	{
		ql_claim_opts_t opts = {};

		if (CountActive() >= kActiveCopiesMax)
			return;
		opts.rules = options_.rules;
		g_strlcpy(opts.key, "key", sizeof(opts.key));
		opts.value.kind = kind;
		opts.value.claimant = {1, ++last_attempt_id_};
		opts.value.fingerprint[0] = (uint64_t)body[0];
		opts.value.lease_ms = kLeaseMs;
		opts.n_keepers = options_.n_keepers;
		opts.n_sets = (uint32_t)options_.sets.size();
		for (size_t i = 0; i < options_.sets.size(); i++)
			opts.sets[i] = options_.sets[i];
		if (kind == QL_CLAIM_RUN && body[0] == 'b' && observed.copies++)
			total.duplicates_without_claims++;
		copies_.push_back(std::make_unique<Copy>());
		copies_.back()->body = body;
		ql_claim_init(&copies_.back()->claim, &opts, now_us_);
		SendToKeepers(copies_.size() - 1,
			      copies_.back()->claim.request);
	}

	size_t CountActive() const
	{
		size_t n_active = 0;

		for (const auto &copy : copies_)
			n_active += copy->gate_alive && copy->pending;
		return n_active;
	}

	void Enqueue(const Message &message)
	{
		if (in_flight_.size() < kInFlightMax)
			in_flight_.push_back(message);
	}

	void SendToKeepers(size_t copy, const ql_claim_request_t &request,
			   const std::string &answer = "")
	{
		for (uint32_t i = 0; i < options_.n_keepers; i++) {
			Message message = {};

			message.copy = copy;
			message.step = copies_[copy]->claim.step;
			message.keeper = i;
			message.request = request;
			message.request.answer = nullptr;
			message.answer = answer;
			Enqueue(message);
		}
	}

	void DropMessage(uint8_t selector)
	{
		if (!in_flight_.empty())
			in_flight_.erase(in_flight_.begin() +
					 selector % in_flight_.size());
	}

	void DuplicateMessage(uint8_t selector)
	{
		if (!in_flight_.empty())
			Enqueue(in_flight_[selector % in_flight_.size()]);
	}

	void DeliverMessage(uint8_t selector)
	{
		if (in_flight_.empty())
			return;
		size_t index = selector % in_flight_.size();
		Message message = in_flight_[index];

		in_flight_.erase(in_flight_.begin() + index);
		if (partitioned_[message.keeper])
			return;
		if (message.is_reply)
			HandleReply(message);
		else
			HandleRequest(message);
	}

	static GBytes *NewBytes(const std::string &text)
	{
		return text.empty() ? nullptr
				    : g_bytes_new(text.data(), text.size());
	}

	void HandleRequest(Message message)
	{
		ql_claim_reply_t reply;
		GBytes *answer = NewBytes(message.answer);
		gsize size;

		message.request.answer = answer;
		ql_keeper_handle(&keepers_[message.keeper], &message.request,
				 &reply, now_us_);
		if (answer)
			g_bytes_unref(answer);
		if (message.request.op == QL_CLAIM_OP_NOTE)
			return;
		message.is_reply = true;
		message.answer.clear();
		if (reply.answer) {
			auto data = (const char *)g_bytes_get_data(reply.answer,
								   &size);
			message.answer.assign(data, size);
		}
		message.reply = reply;
		message.reply.answer = nullptr;
		Enqueue(message);
	}

	void HandleReply(Message message)
	{
		Copy &copy = *copies_[message.copy];
		GBytes *answer = NewBytes(message.answer);

		message.reply.answer = answer;
		if (copy.gate_alive && copy.pending)
			ApplyAction(message.copy,
				    ql_claim_handle_reply(&copy.claim,
							  message.step,
							  message.keeper,
							  &message.reply,
							  now_us_));
		if (answer)
			g_bytes_unref(answer);
	}

	void StopWaiting(uint8_t selector)
	{
		if (copies_.empty())
			return;
		size_t index = selector % copies_.size();
		Copy &copy = *copies_[index];

		if (copy.gate_alive && copy.pending)
			ApplyAction(index, ql_claim_stop_waiting(&copy.claim,
								 now_us_));
	}

	/* One copy does not reach one keeper. */
	void FailKeeper(uint8_t selector)
	{
		if (copies_.empty())
			return;
		size_t index = selector % copies_.size();
		Copy &copy = *copies_[index];

		if (copy.gate_alive && copy.pending)
			ApplyAction(index,
				    ql_claim_handle_reply(
					    &copy.claim, copy.claim.step,
					    selector % options_.n_keepers,
					    nullptr, now_us_));
	}

	void GiveUp(uint8_t selector)
	{
		if (copies_.empty())
			return;
		size_t index = selector % copies_.size();
		Copy &copy = *copies_[index];

		if (!copy.gate_alive || !copy.pending)
			return;
		ql_claim_give_up(&copy.claim);
		ApplyAction(index, QL_CLAIM_DONE);
	}

	void ApplyAction(size_t index, ql_claim_action_t action)
	{
		Copy &copy = *copies_[index];

		if (action == QL_CLAIM_SEND)
			SendToKeepers(index, copy.claim.request);
		if (action != QL_CLAIM_DONE)
			return;
		copy.pending = false;
		observed.results[copy.claim.result]++;
		total.results[copy.claim.result]++;
		if (copy.claim.result == QL_CLAIM_WON)
			EndWon(index);
		else
			EndNotWon(index);
	}

	/*
	 * A copy that won the claim runs and stores its answer; of four, one
	 * forfeits the claim instead and one crashes after it ran.
	 */
	void EndWon(size_t index)
	{
		Copy &copy = *copies_[index];
		unsigned choice = ++total.wins % 4;
		ql_claim_request_t note;

		if (choice == 1) {
			ql_claim_build_note(&copy.claim, &note,
					    QL_CLAIM_NOTE_FORFEITED, nullptr);
			SendToKeepers(index, note);
			return;
		}
		if (observed.runs++)
			total.duplicates++;
		total.runs++;
		if (observed.reported_not_run)
			observed.ran_after_not_run = true;
		if (choice == 2)
			return;
		observed.answer = "answer " + std::to_string(index);
		ql_claim_build_note(&copy.claim, &note, QL_CLAIM_NOTE_ANSWERED,
				    nullptr);
		SendToKeepers(index, note, observed.answer);
	}

	void EndNotWon(size_t index)
	{
		Copy &copy = *copies_[index];
		ql_claim_request_t note;
		ql_outcome_t outcome =
			options_.rules->outcome(copy.claim.result);

		if (outcome == QL_OUTCOME_NOT_RUN)
			observed.reported_not_run++, total.reported_not_run++;
		if (outcome == QL_OUTCOME_ANSWERED)
			CheckAnswer(copy);
		if (copy.claim.opts.value.kind != QL_CLAIM_RUN)
			return;
		ql_claim_build_note(&copy.claim, &note, QL_CLAIM_NOTE_FORFEITED,
				    nullptr);
		SendToKeepers(index, note);
	}

	void CheckAnswer(const Copy &copy)
	{
		gsize size;
		auto data = (const char *)g_bytes_get_data(copy.claim.answer,
							   &size);

		if (std::string(data, size) != observed.answer)
			observed.wrong_answer = true;
	}

	void CrashKeeper(uint8_t selector)
	{
		ql_keeper_t *keeper = &keepers_[selector % keepers_.size()];

		ql_keeper_finish(keeper);
		StartKeeper(keeper, now_us_);
	}

	void CrashGate(uint8_t selector)
	{
		if (!copies_.empty())
			copies_[selector % copies_.size()]->gate_alive = false;
	}

	/* Expires all keys and drops all messages in flight. */
	void ExpireKeys()
	{
		now_us_ += kRetentionUs;
		in_flight_.clear();
		observed = Observations();
	}

	Options options_;
	std::vector<ql_keeper_t> keepers_;
	std::vector<bool> partitioned_;
	std::vector<std::unique_ptr<Copy>> copies_;
	std::vector<Message> in_flight_;
	uint64_t now_us_ = 0;
	uint64_t last_attempt_id_ = 0;
};

} // namespace claim_test

#endif
