import test from 'ava';
import { createUnreadAnswers } from './unreadAnswers.js';
import { createMemoryAccount } from '../../core/memory/memoryAccount.js';

const createHarness = (limitBytes: number) => {
  const account = createMemoryAccount(limitBytes);
  const answers = createUnreadAnswers(account);
  const unread = new Map<number, number>();
  return {
    account,
    answers,
    /** Sets what the caller of an answer has not read, and reports a write to it. */
    write: (key: number, bytes: number) => {
      if (!unread.has(key)) answers.add(key, () => unread.get(key) ?? 0);
      unread.set(key, bytes);
      return answers.update(key);
    },
    read: (key: number) => unread.set(key, 0),
  };
};

// Guards against a daemon that many slow callers fill, each below the limit of one (the limits of
// 2 MB for a caller had no sum), and against a fast caller that is ended in place of a slow one.
test('the answer with the most unread bytes is ended for lack of room', (t) => {
  const { account, write } = createHarness(1_000);
  t.deepEqual(write(1, 600), []);
  t.deepEqual(write(2, 300), []);
  t.deepEqual(write(3, 150), [1]);
  t.is(account.getReserved(), 450);
  t.deepEqual(write(4, 900), [4]);
  t.is(account.getReserved(), 450);
});

// Guards against callers that are ended although they have read their answers meanwhile.
test('what callers have read since their last answer makes room', (t) => {
  const { account, answers, read, write } = createHarness(1_000);
  write(1, 600);
  read(1);
  t.deepEqual(write(2, 900), []);
  answers.remove(1);
  answers.remove(2);
  t.is(account.getReserved(), 0);
});
