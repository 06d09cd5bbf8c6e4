import test from 'ava';
import { MAX_MISSED_REPORTS, PEER_EXPIRY_MS, REPORT_INTERVAL_MS } from './constants.js';
import { createFleetSimulation } from './fleet.fixture.js';
import type { FleetSimulation } from './fleet.fixture.js';
import { countDaemons } from './fleet.js';
import { MAX_GROUP_SIZE } from '../../decisions/membership/constants.js';

const SETTLE_MS = 4_000;
const MAX_LEAVING_AGE_MS = 300;
const SIZES = [
  { daemons: 4, dataCentres: 3 },
  { daemons: 20, dataCentres: 3 },
  { daemons: 68, dataCentres: 5 },
  { daemons: 110, dataCentres: 5 },
];

const createSettled = (daemons: number, dataCentres: number, lossShare = 0.01): FleetSimulation => {
  const fleet = createFleetSimulation({ daemons, dataCentres, lossShare, seed: 11 });
  fleet.run(SETTLE_MS);
  return fleet;
};

for (const { daemons, dataCentres } of SIZES) {
  // Guards against daemons that do not know of each other or count each other's load twice, whether
  // they report to each other or through the leaders of their groups.
  test(`${daemons.toString()} daemons know each other and the sum of their loads`, (t) => {
    const fleet = createSettled(daemons, dataCentres);
    for (let index = 0; index < daemons; index += 1) fleet.setLoad(index, [['e-1', 1, 10, 0]]);
    fleet.run(1_600);
    for (let index = 0; index < daemons; index += 1) {
      t.is(countDaemons(fleet.getState(index)), daemons);
      t.is(fleet.sumLoad(index, 'e-1'), daemons - 1);
    }
  });

  // Guards against generations that are placed at an engine whose leaving only some daemons know.
  test(`all of ${daemons.toString()} daemons learn of a leaving endpoint in time`, (t) => {
    const fleet = createSettled(daemons, dataCentres);
    fleet.reportLeaving(daemons - 1, 'e-1');
    fleet.run(2 * MAX_LEAVING_AGE_MS);
    const late = fleet
      .getLeavingAges('e-1')
      .filter((age) => age === null || age > MAX_LEAVING_AGE_MS);
    t.deepEqual(late, []);
  });
}

const measureBusiest = (daemons: number, dataCentres: number) => {
  const fleet = createSettled(daemons, dataCentres);
  for (let index = 0; index < daemons; index += 1) {
    fleet.setLoad(index, [[`e-${(index % 40).toString()}`, 2, 6_000, 0]]);
  }
  fleet.resetTraffic();
  fleet.run(2_000);
  const traffic = fleet.getTraffic();
  const total = traffic.reduce((sum, { bytesBetweenDataCentres: b }) => sum + b, 0);
  return { sent: Math.max(...traffic.map(({ sent }) => sent)) / 2, between: total / 2 };
};

// Guards against reports of all to all, whose cost for a daemon grows with the fleet.
test('a daemon of a large fleet sends no more datagrams than its group requires', (t) => {
  const { between, sent } = measureBusiest(68, 5);
  const reports = ((MAX_GROUP_SIZE - 1) * 1_000) / REPORT_INTERVAL_MS;
  t.true(sent <= 1.5 * reports, `${sent.toString()} datagrams a second`);
  t.true(between / 68 <= 18_000, `${between.toString()} bytes a second between data centres`);
});

// Guards against a group that is silent for the others after the loss of its leader.
test('another daemon leads the group when its leader stops', (t) => {
  const fleet = createSettled(20, 2);
  fleet.stop(0);
  fleet.stop(1);
  fleet.run(MAX_MISSED_REPORTS * REPORT_INTERVAL_MS + 400);
  fleet.setLoad(3, [['e-7', 4, 40, 0]]);
  fleet.reportLeaving(3, 'e-7');
  fleet.run(400);
  t.is(fleet.sumLoad(2, 'e-7'), 4);
  t.false(fleet.getLeavingAges('e-7').includes(null));
  fleet.run(PEER_EXPIRY_MS + 2_000);
  t.is(countDaemons(fleet.getState(2)), 18);
});

// Guards against transfers of two groups that share the link of one leaving engine, and against
// two that each wait for the other.
test('transfers are ordered by priority over all groups', (t) => {
  const fleet = createSettled(20, 2, 0);
  fleet.setTransfer(4, 'e-1', 700);
  fleet.setTransfer(5, 'e-1', 900);
  fleet.run(300);
  t.true(fleet.isPreceded(4, 'e-1', 700));
  t.false(fleet.isPreceded(5, 'e-1', 900));
});
