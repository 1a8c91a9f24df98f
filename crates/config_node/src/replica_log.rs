//! A voter's log on disk: frames with checksums in one file, and beside it a witness of how many of them count.
//!
//! A frame that was being written when the program was killed is no loss: nothing was said of what is in it. Frames that the
//! witness counts and the file lacks are one: whoever wrote them may have given a vote that is no longer to be seen, so that
//! the log is not to be used.

use replicated_config::{Kept, Record};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The first bytes of each file: its form.
const FORM: &[u8; 8] = b"sf-log 1";
/// Bytes of a frame's head: how long it is, and the beginning of a BLAKE3 hash of its number and what it holds.
const HEAD: usize = 4 + TAG;
const TAG: usize = 16;
/// No frame holds more: a state of that many versions and their texts.
const MOST_FRAME: usize = 64 * replicated_config::MOST_TEXT;
/// A file that has grown to this, and to twice what it has to hold, is written anew with that alone.
const LARGE: u64 = 4 << 20;

/// A log that is open.
#[derive(Debug)]
pub struct Disk {
    path: PathBuf,
    file: File,
    /// Bytes of the file, and of what it has to hold when it was last written anew.
    length: u64,
    least: u64,
    frames: u64,
    kept: Kept,
}

fn tag(number: u64, data: &[u8]) -> [u8; TAG] {
    let mut hash = blake3::Hasher::new();
    hash.update(&number.to_le_bytes()).update(data);
    let mut tag = [0; TAG];
    tag.copy_from_slice(&hash.finalize().as_bytes()[..TAG]);
    tag
}

fn frame(number: u64, data: &[u8]) -> Vec<u8> {
    let length = (data.len() as u32).to_le_bytes();
    [&length[..], &tag(number, data), data].concat()
}

/// The frames of a file, as far as they are whole.
fn frames(bytes: &[u8]) -> Option<Vec<&[u8]>> {
    let mut rest = bytes.strip_prefix(FORM)?;
    let mut all = Vec::new();
    while let Some((head, behind)) = rest.split_at_checked(HEAD) {
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let Some((data, behind)) = behind.split_at_checked(length).filter(|_| length <= MOST_FRAME) else {
            break;
        };
        if head[4..] != tag(all.len() as u64, data) {
            break;
        }
        all.push(data);
        rest = behind;
    }
    Some(all)
}

fn witness(path: &Path) -> PathBuf {
    path.with_extension("count")
}

/// Writes a file whole, under another name first.
fn write_whole(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let aside = path.with_extension("new");
    let mut file = File::create(&aside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&aside, path)?;
    // The name, too, is on the disk only with the folder.
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}

fn counted(frames: u64) -> Vec<u8> {
    [&FORM[..], &frame(0, &frames.to_le_bytes())].concat()
}

impl Disk {
    /// Begins a log that holds nothing.
    ///
    /// # Errors
    ///
    /// There is a file at this path, or it cannot be made.
    pub fn begin(path: &Path) -> Result<(), String> {
        if path.exists() || witness(path).exists() {
            return Err("there is a log already; it is left as it is".into());
        }
        let begun = || {
            path.parent().map_or(Ok(()), std::fs::create_dir_all)?;
            write_whole(path, FORM)?;
            write_whole(&witness(path), &counted(0))
        };
        begun().map_err(|e| e.to_string())
    }

    /// Opens a log and reads what it holds.
    ///
    /// # Errors
    ///
    /// There is none, or it is not whole: who wrote it may have given votes that it does not show.
    pub fn open(path: &Path) -> Result<Self, String> {
        let read = |path: &Path| std::fs::read(path).map_err(|e| e.to_string());
        let (bytes, count) = (read(path)?, read(&witness(path))?);
        let count = frames(&count)
            .filter(|f| f.len() == 1)
            .and_then(|f| Some(u64::from_le_bytes(f[0].try_into().ok()?)));
        let count = count.ok_or("the log's witness is not whole")?;
        let all = frames(&bytes).ok_or("it is no log of this form")?;
        if (all.len() as u64) < count {
            return Err(format!("{} of {count} frames are there", all.len()));
        }
        let mut kept = Kept::default();
        for data in &all {
            let records: Vec<Record> = postcard::from_bytes(data).map_err(|e| e.to_string())?;
            records.into_iter().try_for_each(|record| kept.take(record))?;
        }
        // What was being written at the end is cut off.
        let length = FORM.len() as u64 + all.iter().map(|f| (HEAD + f.len()) as u64).sum::<u64>();
        let opened = || -> io::Result<File> {
            let file = OpenOptions::new().append(true).open(path)?;
            file.set_len(length)?;
            file.sync_all()?;
            Ok(file)
        };
        let file = opened().map_err(|e| e.to_string())?;
        let path = path.to_owned();
        Ok(Self { path, file, length, least: length, frames: all.len() as u64, kept })
    }

    /// What it holds.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// Writes these down; they are on the disk when this returns.
    ///
    /// # Errors
    ///
    /// They are not, and what is there is not known: the log is not to be used any more in this life.
    pub fn write(&mut self, records: Vec<Record>) -> Result<(), String> {
        if records.is_empty() {
            return Ok(());
        }
        let data = postcard::to_stdvec(&records).map_err(|e| e.to_string())?;
        records.into_iter().try_for_each(|record| self.kept.take(record))?;
        let mut written = || -> io::Result<()> {
            let bytes = frame(self.frames, &data);
            self.file.write_all(&bytes)?;
            self.file.sync_data()?;
            self.frames += 1;
            self.length += bytes.len() as u64;
            write_whole(&witness(&self.path), &counted(self.frames))?;
            if self.length > LARGE && self.length > 2 * self.least { self.write_anew() } else { Ok(()) }
        };
        written().map_err(|e| e.to_string())
    }

    /// Writes the file anew with what it has to hold.
    fn write_anew(&mut self) -> io::Result<()> {
        let kept = self.kept.clone();
        let (term, vote, agreed) = kept.hard;
        let records =
            vec![Record::Base(kept.base), Record::Lines(kept.lines), Record::Hard(term, vote, agreed)];
        let data = postcard::to_stdvec(&records).map_err(io::Error::other)?;
        // The witness first: with one frame it asks for less than either file holds.
        write_whole(&witness(&self.path), &counted(1))?;
        let bytes = [&FORM[..], &frame(0, &data)].concat();
        write_whole(&self.path, &bytes)?;
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        (self.frames, self.length, self.least) = (1, bytes.len() as u64, bytes.len() as u64);
        Ok(())
    }
}

/// Reads exactly one frame from a stream, of `most` bytes at most.
///
/// # Errors
///
/// The stream ends, or says more than that.
pub(crate) fn read_frame(from: &mut impl Read, most: usize) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    from.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length) as usize;
    if length > most {
        return Err(io::Error::other("a frame is too long"));
    }
    let mut data = Vec::new();
    from.take(length as u64).read_to_end(&mut data)?;
    if data.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(data)
}

#[cfg(test)]
mod tests {
    use super::*;
    use replicated_config::{Base, Line};

    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Self {
            Self(std::env::temp_dir().join(format!("quorum-{name}-{}", std::process::id())))
        }
        fn log(&self) -> PathBuf {
            self.0.join("voter.log")
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    fn lines(range: std::ops::RangeInclusive<u64>, term: u64, bytes: usize) -> Record {
        Record::Lines(range.map(|index| Line { index, term, data: vec![7; bytes] }).collect())
    }

    #[test]
    fn what_was_written_is_read_again_in_any_course() {
        let folder = Folder::new("again");
        Disk::begin(&folder.log()).expect("it is begun");
        assert!(Disk::begin(&folder.log()).is_err(), "once");
        let mut all = Kept::default();
        let records = [
            vec![Record::Hard(1, 2, 0), lines(1..=9, 1, 3)],
            vec![lines(5..=6, 2, 3), Record::Hard(2, 0, 4)],
            vec![Record::Base(Base { index: 5, term: 2, state: vec![1, 2] })],
            vec![lines(7..=8, 2, 3)],
            vec![Record::Base(Base { index: 20, term: 3, state: vec![3] }), Record::Hard(3, 1, 20)],
            vec![lines(21..=22, 3, 3)],
        ];
        for some in records {
            let mut disk = Disk::open(&folder.log()).expect("it is whole");
            assert_eq!(disk.kept(), &all);
            disk.write(some.clone()).expect("there is room");
            some.into_iter().for_each(|record| all.take(record).expect("records follow each other"));
        }
        assert_eq!(Disk::open(&folder.log()).expect("it is whole").kept(), &all);
    }

    #[test]
    fn a_log_cut_at_any_byte_is_refused_or_holds_all_that_counts() {
        let folder = Folder::new("cut");
        Disk::begin(&folder.log()).expect("it is begun");
        let mut disk = Disk::open(&folder.log()).expect("it is whole");
        let mut states = vec![(std::fs::read(folder.log()).expect("a file").len(), disk.kept().clone())];
        for turn in 1..=4 {
            disk.write(vec![Record::Hard(turn, 1, 0), lines(turn..=turn, turn, 5)]).expect("there is room");
            states.push((std::fs::read(folder.log()).expect("a file").len(), disk.kept().clone()));
        }
        let whole = std::fs::read(folder.log()).expect("a file");
        let count = std::fs::read(witness(&folder.log())).expect("a file");
        // Killed while it wrote the fourth: the witness knows of three.
        let three = counted(3);
        for length in 0..=whole.len() {
            for (witnessed, frames) in [(&count, 4), (&three, 3)] {
                std::fs::write(folder.log(), &whole[..length]).expect("it is written");
                std::fs::write(witness(&folder.log()), witnessed).expect("it is written");
                let there = states.iter().rposition(|s| s.0 <= length);
                let opened = Disk::open(&folder.log());
                match there.filter(|n| *n >= frames) {
                    Some(n) => assert_eq!(opened.expect("all that counts is there").kept(), &states[n].1),
                    None => assert!(opened.is_err(), "{length} bytes, {frames} frames"),
                }
            }
        }
        for at in 0..whole.len() {
            let mut altered = whole.clone();
            altered[at] ^= 0x10;
            std::fs::write(folder.log(), altered).expect("it is written");
            std::fs::write(witness(&folder.log()), &count).expect("it is written");
            assert!(Disk::open(&folder.log()).is_err(), "byte {at}");
        }
        std::fs::write(folder.log(), &whole).expect("it is written");
        for length in 0..count.len() {
            std::fs::write(witness(&folder.log()), &count[..length]).expect("it is written");
            assert!(Disk::open(&folder.log()).is_err(), "witness of {length} bytes");
        }
    }

    #[test]
    fn a_log_stays_bounded() {
        let folder = Folder::new("large");
        Disk::begin(&folder.log()).expect("it is begun");
        let mut disk = Disk::open(&folder.log()).expect("it is whole");
        for index in 1..=40 {
            disk.write(vec![lines(index..=index, 1, 200_000)]).expect("there is room");
            disk.write(vec![Record::Base(Base { index, term: 1, state: vec![1; 1_000] })])
                .expect("there is room");
            assert!(std::fs::metadata(folder.log()).expect("a file").len() < LARGE + 400_000);
        }
        assert_eq!(Disk::open(&folder.log()).expect("it is whole").kept(), disk.kept());
    }
}
