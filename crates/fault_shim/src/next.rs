//! Looks up the C library's definitions of the interposed functions, which are the next ones in the search order.

use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, Ordering};

/// A function of the C library, whose address is looked up at its first call.
pub(crate) struct NextSymbol {
    name: &'static CStr,
    address: AtomicPtr<libc::c_void>,
}

impl NextSymbol {
    /// The function with this name.
    pub(crate) const fn new(name: &'static CStr) -> Self {
        Self { name, address: AtomicPtr::new(std::ptr::null_mut()) }
    }

    /// The address of the function, as a function pointer of type `F`.
    ///
    /// # Safety
    ///
    /// `F` must be the type of a pointer to the function.
    pub(crate) unsafe fn get<F: Copy>(&self) -> F {
        let mut address = self.address.load(Ordering::Relaxed);
        if address.is_null() {
            // SAFETY: the name is a C string, which ends in a zero byte.
            address = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
            self.address.store(address, Ordering::Relaxed);
        }
        const { assert!(size_of::<F>() == size_of::<*mut libc::c_void>()) };
        // SAFETY: the sizes are equal, and the caller guarantees that `F` is the type of the function.
        unsafe { std::mem::transmute_copy(&address) }
    }
}
