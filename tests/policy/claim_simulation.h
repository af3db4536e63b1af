#ifndef QL_TESTS_POLICY_CLAIM_WORLD_H
#define QL_TESTS_POLICY_CLAIM_WORLD_H

/*
 * Keepers, copies of one keyed request and a bag of messages, driven by a
 * schedule that is a string of bytes.
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
constexpr size_t kBagMax = 64;
constexpr size_t kActiveMax = 4;

struct Options {
	const ql_claim_rules_t *rules = &ql_claim_rules;
	uint32_t n_keepers = 3;
	std::vector<uint32_t> sets = {7};
	bool count_only = false;
};

/* What may be seen from outside, since the last expiry of all keys. */
struct Seen {
	int runs = 0;
	int told_not_run = 0;
	int wins = 0;
	int copies = 0;
	int duplicates = 0;
	int duplicates_unclaimed = 0;
	int results[QL_CLAIM_TIMED_OUT + 1] = {};
	std::string answer;
	bool not_run_broken = false;
	bool answer_broken = false;
};

struct Copy {
	ql_claim_t claim;
	std::string body;
	bool alive = true;
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

class World
{
      public:
	explicit World(const Options &options)
	    : options_(options), keepers_(options.n_keepers),
	      cut_(options.n_keepers, false)
	{
		for (auto &keeper : keepers_)
			StartKeeper(&keeper, 0);
		now_us_ = kRetentionUs;
	}

	~World()
	{
		for (auto &copy : copies_)
			ql_claim_finish(&copy->claim);
		for (auto &keeper : keepers_)
			ql_keeper_finish(&keeper);
	}

	void Play(const std::string &schedule)
	{
		for (size_t i = 0; i + 1 < schedule.size(); i += 2) {
			if (!options_.count_only && !Broken().empty())
				return;
			Step((uint8_t)schedule[i], (uint8_t)schedule[i + 1]);
		}
	}

	/* Names the broken promise, or is empty. */
	std::string Broken() const
	{
		if (seen.runs > 1)
			return "ran twice";
		if (seen.not_run_broken || (seen.told_not_run && seen.runs))
			return "ran although told not run";
		return seen.answer_broken ? "another answer" : "";
	}

	Seen seen;
	Seen total;

      private:
	void StartKeeper(ql_keeper_t *keeper, uint64_t now_us)
	{
		ql_keeper_opts_t opts = {options_.rules, kRetentionUs, 8,
					 1 << 20};

		ql_keeper_init(keeper, &opts, now_us);
	}

	/* Most steps deliver; the others are rare enough to get somewhere. */
	void Step(uint8_t what, uint8_t which)
	{
		if (what < 10)
			NewCopy(QL_CLAIM_RUN, "body");
		else if (what < 13)
			NewCopy(QL_CLAIM_SEAL, "body");
		else if (what < 14)
			NewCopy(QL_CLAIM_RUN, "other");
		else if (what < 24)
			Drop(which);
		else if (what < 34)
			Repeat(which);
		else if (what < 40)
			now_us_ += kTickUs;
		else if (what < 44)
			cut_[which % cut_.size()] = !cut_[which % cut_.size()];
		else if (what < 46)
			CrashKeeper(which);
		else if (what < 48)
			CrashGate(which);
		else if (what < 56)
			Hasten(which);
		else if (what < 57)
			Expire();
		else if (what < 62)
			Fail(which);
		else if (what < 64)
			GiveUp(which);
		else
			Deliver(which);
	}

	void NewCopy(ql_claim_kind_t kind, const char *body)
	{
		ql_claim_opts_t opts = {};

		if (CountActive() >= kActiveMax)
			return;
		opts.rules = options_.rules;
		g_strlcpy(opts.key, "key", sizeof(opts.key));
		opts.value.kind = kind;
		opts.value.claimant = {1, ++identity_};
		opts.value.fingerprint[0] = (uint64_t)body[0];
		opts.value.lease_ms = kLeaseMs;
		opts.n_keepers = options_.n_keepers;
		opts.n_sets = (uint32_t)options_.sets.size();
		for (size_t i = 0; i < options_.sets.size(); i++)
			opts.sets[i] = options_.sets[i];
		if (kind == QL_CLAIM_RUN && body[0] == 'b' && seen.copies++)
			total.duplicates_unclaimed++;
		copies_.push_back(std::make_unique<Copy>());
		copies_.back()->body = body;
		ql_claim_init(&copies_.back()->claim, &opts, now_us_);
		Send(copies_.size() - 1, copies_.back()->claim.request);
	}

	size_t CountActive() const
	{
		size_t n_active = 0;

		for (const auto &copy : copies_)
			n_active += copy->alive && copy->pending;
		return n_active;
	}

	void Put(const Message &message)
	{
		if (bag_.size() < kBagMax)
			bag_.push_back(message);
	}

	void Send(size_t copy, const ql_claim_request_t &request,
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
			Put(message);
		}
	}

	void Drop(uint8_t which)
	{
		if (!bag_.empty())
			bag_.erase(bag_.begin() + which % bag_.size());
	}

	void Repeat(uint8_t which)
	{
		if (!bag_.empty())
			Put(bag_[which % bag_.size()]);
	}

	void Deliver(uint8_t which)
	{
		if (bag_.empty())
			return;
		size_t index = which % bag_.size();
		Message message = bag_[index];

		bag_.erase(bag_.begin() + index);
		if (cut_[message.keeper])
			return;
		if (message.is_reply)
			TakeReply(message);
		else
			Handle(message);
	}

	static GBytes *Bytes(const std::string &text)
	{
		return text.empty() ? nullptr
				    : g_bytes_new(text.data(), text.size());
	}

	void Handle(Message message)
	{
		ql_claim_reply_t reply;
		GBytes *answer = Bytes(message.answer);
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
		Put(message);
	}

	void TakeReply(Message message)
	{
		Copy &copy = *copies_[message.copy];
		GBytes *answer = Bytes(message.answer);

		message.reply.answer = answer;
		if (copy.alive && copy.pending)
			Act(message.copy,
			    ql_claim_handle_reply(&copy.claim, message.step,
						  message.keeper,
						  &message.reply, now_us_));
		if (answer)
			g_bytes_unref(answer);
	}

	void Hasten(uint8_t which)
	{
		if (copies_.empty())
			return;
		size_t index = which % copies_.size();
		Copy &copy = *copies_[index];

		if (copy.alive && copy.pending)
			Act(index, ql_claim_stop_waiting(&copy.claim, now_us_));
	}

	/* One keeper is not reached by one copy. */
	void Fail(uint8_t which)
	{
		if (copies_.empty())
			return;
		size_t index = which % copies_.size();
		Copy &copy = *copies_[index];

		if (copy.alive && copy.pending)
			Act(index,
			    ql_claim_handle_reply(&copy.claim, copy.claim.step,
						  which % options_.n_keepers,
						  nullptr, now_us_));
	}

	void GiveUp(uint8_t which)
	{
		if (copies_.empty())
			return;
		size_t index = which % copies_.size();
		Copy &copy = *copies_[index];

		if (!copy.alive || !copy.pending)
			return;
		ql_claim_give_up(&copy.claim);
		Act(index, QL_CLAIM_DONE);
	}

	void Act(size_t index, ql_claim_action_t action)
	{
		Copy &copy = *copies_[index];

		if (action == QL_CLAIM_SEND)
			Send(index, copy.claim.request);
		if (action != QL_CLAIM_DONE)
			return;
		copy.pending = false;
		seen.results[copy.claim.result]++;
		total.results[copy.claim.result]++;
		if (copy.claim.result == QL_CLAIM_WON)
			Win(index);
		else
			Lose(index);
	}

	/* A copy that won runs, runs and crashes, or gives up. */
	void Win(size_t index)
	{
		Copy &copy = *copies_[index];
		unsigned choice = ++total.wins % 4;
		ql_claim_request_t note;

		if (choice == 1) {
			ql_claim_build_note(&copy.claim, &note,
					    QL_CLAIM_NOTE_FORFEITED, nullptr);
			Send(index, note);
			return;
		}
		if (seen.runs++)
			total.duplicates++;
		total.runs++;
		if (seen.told_not_run)
			seen.not_run_broken = true;
		if (choice == 2)
			return;
		seen.answer = "answer " + std::to_string(index);
		ql_claim_build_note(&copy.claim, &note, QL_CLAIM_NOTE_ANSWERED,
				    nullptr);
		Send(index, note, seen.answer);
	}

	void Lose(size_t index)
	{
		Copy &copy = *copies_[index];
		ql_claim_request_t note;
		ql_outcome_t outcome =
			options_.rules->outcome(copy.claim.result);

		if (outcome == QL_OUTCOME_NOT_RUN)
			seen.told_not_run++, total.told_not_run++;
		if (outcome == QL_OUTCOME_ANSWERED)
			CheckAnswer(copy);
		if (copy.claim.opts.value.kind != QL_CLAIM_RUN)
			return;
		ql_claim_build_note(&copy.claim, &note, QL_CLAIM_NOTE_FORFEITED,
				    nullptr);
		Send(index, note);
	}

	void CheckAnswer(const Copy &copy)
	{
		gsize size;
		auto data = (const char *)g_bytes_get_data(copy.claim.answer,
							   &size);

		if (std::string(data, size) != seen.answer)
			seen.answer_broken = true;
	}

	void CrashKeeper(uint8_t which)
	{
		ql_keeper_t *keeper = &keepers_[which % keepers_.size()];

		ql_keeper_finish(keeper);
		StartKeeper(keeper, now_us_);
	}

	void CrashGate(uint8_t which)
	{
		if (!copies_.empty())
			copies_[which % copies_.size()]->alive = false;
	}

	/* All that was promised and sent has run out. */
	void Expire()
	{
		now_us_ += kRetentionUs;
		bag_.clear();
		seen = Seen();
	}

	Options options_;
	std::vector<ql_keeper_t> keepers_;
	std::vector<bool> cut_;
	std::vector<std::unique_ptr<Copy>> copies_;
	std::vector<Message> bag_;
	uint64_t now_us_ = 0;
	uint64_t identity_ = 0;
};

} // namespace claim_test

#endif
